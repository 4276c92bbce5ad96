VENV := .venv
BIN := $(VENV)/bin
PYTHON ?= python3.11

.PHONY: setup test lint format demo bench capacity proto docs

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check \
		-r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check \
		--no-deps --no-build-isolation -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8

format: setup
	$(BIN)/ruff format .

# The known failures of KNOWN-RED.txt are deselected and printed; every
# other test must pass.
test: lint
	$(BIN)/python -m tests.known_red
	$(BIN)/python -m pytest $$($(BIN)/python -m tests.known_red --args)

demo: setup
	$(BIN)/python -m tools.demo

bench: setup
	$(BIN)/python -m tools.bench

capacity: setup
	$(BIN)/python -m tools.capacity

proto: setup
	PATH=$(abspath $(BIN)):$$PATH \
		$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
		--grpclib_python_out=. damaskpier/rpc/mesh.proto
