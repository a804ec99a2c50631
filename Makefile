PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# The order of sets decides the order of messages; it is the same on every run.
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench soak clean

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

soak: $(STAMP)
	$(BIN)/python -m tests.soak

clean:
	rm -rf $(VENV) build *.egg-info
