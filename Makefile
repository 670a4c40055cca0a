PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint demo tour binary clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check \
		--no-build-isolation --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/python scripts/run_tests.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

demo: setup
	$(BIN)/python scripts/demo.py

tour: setup
	$(BIN)/python scripts/demo.py --hold

binary: setup
	$(BIN)/python scripts/build_binary.py

clean:
	rm -rf $(VENV) dist build
