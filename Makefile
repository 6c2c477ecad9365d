# Development targets. Every target prepares the virtual environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= frio-nordeste
SECONDS ?= 60
SEED ?= 1
SEEDS ?= 5
PACKAGES := parsleyrudder parsleyrudder_adapters parsleyrudder_daemon parsleyctl parsleyrudder_standins
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p))

.PHONY: demo fuzz measure soak relay-cost slopes test check format

$(VENV)/.installed: constraints.txt requirements-dev.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m parsleyrudder_standins.demo --deployment=$(DEPLOYMENT)

# Further options in MEASURE, such as MEASURE="--policy=all --fault=none --plot=out.png".
measure: $(VENV)/.installed
	$(BIN)/python -m parsleyrudder_standins.measure --deployment=$(DEPLOYMENT) \
		--seconds=$(SECONDS) --seed=$(SEED) $(MEASURE)

test: $(VENV)/.installed
	$(BIN)/python -m pytest

fuzz: $(VENV)/.installed
	$(BIN)/python -m parsleyrudder_standins.fuzz --seconds=$(SECONDS) --seed=$(SEED)

# Fault soak of the relay, one seed after another.
soak: $(VENV)/.installed
	cd platform && ../$(BIN)/python -m parsleyrudder_soak --seed=$(SEED) --seeds=$(SEEDS) --folder=../target/soak

check: $(VENV)/.installed
	$(BIN)/black --check -q packages platform
	$(BIN)/ruff check -q packages platform
	$(BIN)/mypy packages platform/parsleyrudder_platform platform/parsleyrudder_soak

format: $(VENV)/.installed
	$(BIN)/black -q packages platform
	$(BIN)/ruff check -q --fix packages platform

relay-cost: $(VENV)/.installed
	$(BIN)/python -m parsleyrudder_standins.relay_cost

slopes: $(VENV)/.installed
	$(BIN)/python -m parsleyrudder_standins.slopes --seed=$(SEED)
	$(BIN)/python -m parsleyrudder_standins.spread_time --deployment=$(DEPLOYMENT)
	$(BIN)/python -m parsleyrudder_standins.relay_cost --streams=200 --chunks=200 --calls=50
