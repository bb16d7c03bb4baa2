# One command each: `make demo` runs the main job, `make test` passes the tests.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo test soak lint format clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[lab,test]'
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/passgate demo

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint
	$(BIN)/pytest -n 4

soak: setup
	$(BIN)/python -m tests.soak --seconds $(or $(SECONDS),60) --seed $(or $(SEED),0) --daemons $(or $(DAEMONS),4) $(addprefix --from-build ,$(FROM))

clean:
	rm -rf $(VENV) build *.egg-info .pytest_cache .ruff_cache .hypothesis out
