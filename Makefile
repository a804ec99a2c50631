PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Fixes the iteration order of sets and so the order in which messages are sent.
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench soak soak-cells emulate clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m tests

bench: $(STAMP)
	$(BIN)/python -m benchmarks

# Six random seeds by default; `make soak SEEDS="1 2 3"` runs the given ones, and
# `SOAK_OPTIONS=--refuses` lets links that are cut refuse connections.
SEEDS ?= $(shell for n in 1 2 3 4 5 6; do od -An -N3 -tu4 /dev/urandom; done)
SOAK_JOBS ?= 3
soak: $(STAMP)
	echo $(SEEDS) | tr ' ' '\n' | \
		xargs -P $(SOAK_JOBS) -I{} $(BIN)/python -m tests.fleet_soak --seed {} $(SOAK_OPTIONS)

soak-cells: $(STAMP)
	$(BIN)/python -m tests.soak_cells

# A site of 42 daemons and 176 workers at its load; `make emulate EMULATOR_OPTIONS="--seed 2"`.
emulate: $(STAMP)
	$(BIN)/python -m emulator $(EMULATOR_OPTIONS)

clean:
	rm -rf $(VENV) build *.egg-info
