VENV ?= .venv
PYTHON = $(VENV)/bin/python
PACKAGES = $(wildcard packages/*)
SEED ?= 1
SEEDS ?= 1
DURATION_S ?= 60

.PHONY: install format lint test demo demo-platform soak-platform prove measure path-cost prefix-locality

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --disable-pip-version-check -c constraints.txt \
		-r requirements-dev.txt
	$(PYTHON) -m pip install -q --disable-pip-version-check --no-build-isolation \
		-c constraints.txt $(PACKAGES:%=-e %)
	touch $@

format: install
	$(PYTHON) -m ruff format .

lint: install
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

test: lint
	$(PYTHON) tools/run_tests.py

demo: install
	$(PYTHON) -m lagoonsail_lab.demo

demo-platform: install
	PYTHONPATH=platform/src $(PYTHON) -m lagoonsail_platform_standin.demo

soak-platform: install
	PYTHONPATH=platform/src $(PYTHON) -m lagoonsail_platform_standin.soak \
		--seed $(SEED) --seeds $(SEEDS) --duration-s $(DURATION_S)

prove: install
	$(PYTHON) -m lagoonsail_lab.prove --seed $(SEED) --duration-s $(DURATION_S)

measure: install
	$(PYTHON) -m lagoonsail_lab.measure

path-cost: install
	$(PYTHON) -m lagoonsail_lab.path_cost

prefix-locality: install
	$(PYTHON) -m lagoonsail_lab.prefix_locality
