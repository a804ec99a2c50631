"""Tests, named after the modules that they test."""
