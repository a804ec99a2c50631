"""Measurements of the product's decisions, under a clock of their own."""
