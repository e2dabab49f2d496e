PYTHON ?= python3.11
BIN := .venv/bin
SITE ?= yard
PROVE_OPTIONS ?=

.PHONY: setup format lint test build demo prove policy slopes clean

setup: .venv/ready

.venv/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch .venv/ready

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix --quiet .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 oatcrank emulator tests
	$(BIN)/mypy oatcrank emulator

test: setup
	$(BIN)/python -m pytest -m 'not point'

build: setup
	sh build.sh

demo: setup
	$(BIN)/python -m emulator demo --site $(SITE)

prove: setup
	$(BIN)/python -m emulator prove $(PROVE_OPTIONS)

policy: setup
	$(BIN)/python -m emulator policy

slopes: setup
	$(BIN)/python -m emulator slopes

clean:
	rm -rf .venv build dist
