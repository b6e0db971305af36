PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
WORKERS ?= 6

.PHONY: test demo soak bench bench-control bench-relay lint format setup known-red

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal

demo: $(STAMP)
	$(BIN)/python -m balsamlug_standins.demo

SEEDS ?= 10

soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS)

bench: $(STAMP)
	$(BIN)/python -m bench.policy

bench-control: $(STAMP)
	$(BIN)/python -m bench.control
	$(BIN)/python -m bench.controller_process

bench-relay: $(STAMP)
	$(BIN)/python -m bench.relay
