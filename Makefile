# Every target makes what it needs: .venv from requirements.lock, then the workspace packages.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PIP_DISABLE_PIP_VERSION_CHECK = 1
PACKAGES := model state policy consensus wire daemon cli
SOURCES := packages tests tools scenarios
READY := $(VENV)/.ready

.PHONY: demo measure-experts env format lint types imports events words capacity bench unit scenarios-long test lock clean

env: $(READY)

$(READY): requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/bergamotchute-$(p))
	touch $@

format: env
	$(BIN)/ruff check --fix --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

lint: env
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: env
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/bergamotchute-$(p)/src)

imports: env
	$(BIN)/lint-imports --no-cache

events: env
	$(BIN)/python -m tools.check_events

words: env
	$(BIN)/python -m tools.check_words

capacity: env
	$(BIN)/python -m tools.capacity

bench: env
	$(BIN)/python -m tools.bench_messages
	$(BIN)/python -m tools.bench_state
	$(BIN)/python -m tools.bench_relay_links
	$(BIN)/python -m tools.capacity --write

demo: env
	$(BIN)/python -m tools.demo

# Tests and scenarios run side by side.
unit: env
	@$(BIN)/pytest scenarios >$(VENV)/scenarios.log 2>&1 & scenarios=$$!; \
	$(BIN)/pytest; status=$$?; \
	wait $$scenarios || status=1; cat $(VENV)/scenarios.log; exit $$status

scenarios-long: env
	$(BIN)/pytest scenarios/long

test: lint types imports events words unit

lock:
	uv pip compile --generate-hashes --no-header --universal --python-version 3.11 requirements.in -o requirements.lock

clean:
	rm -rf $(VENV)

measure-experts: env
	OMP_NUM_THREADS=1 OPENBLAS_NUM_THREADS=1 $(BIN)/python -m tools.measure_experts
