# build, test, lint and run; each needs nothing but Python 3.11 and make.
PYTHON ?= python3

.PHONY: build test lint run clean

build: .venv/made

.venv/made: requirements.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q --disable-pip-version-check install -r requirements-dev.txt
	touch $@

test: build
	.venv/bin/python -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check --diff .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

run: build
	.venv/bin/python -m micahold

clean:
	rm -rf .venv
