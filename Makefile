VENV := .venv
PYTHON := $(VENV)/bin/python
MESH ?= brittany

.PHONY: env demo test lint

env: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: env
	$(PYTHON) -m examples.demo --mesh $(MESH)

test: env
	$(PYTHON) -m tests.known_red

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
