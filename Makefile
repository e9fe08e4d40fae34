# Every target makes what it needs: .venv from requirements.lock, then the workspace packages.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PIP_DISABLE_PIP_VERSION_CHECK = 1
# The order of sets of texts is the same in each run.
export PYTHONHASHSEED = 0
PACKAGES := model state policy consensus wire daemon cli
SOURCES := packages platform tests tools scenarios
READY := $(VENV)/.ready

.PHONY: env
env: $(READY)

$(READY): requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/bergamotchute-$(p))
	touch $@

.PHONY: format
format: env
	$(BIN)/ruff check --fix --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

.PHONY: lint
lint: env
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

.PHONY: types
types: env
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/bergamotchute-$(p)/src) platform/bergamotchute_platform

.PHONY: imports
imports: env
	PYTHONPATH=platform $(BIN)/lint-imports --no-cache

.PHONY: events
events: env
	$(BIN)/python -m tools.check_events

.PHONY: words
words: env
	$(BIN)/python -m tools.check_words

.PHONY: capacity
capacity: env
	$(BIN)/python -m tools.capacity

.PHONY: bench-control
bench-control: env
	$(BIN)/python -m tools.bench_control

.PHONY: bench
bench: env
	$(BIN)/python -m tools.bench_messages
	$(BIN)/python -m tools.bench_state
	$(BIN)/python -m tools.bench_relay_links
	$(BIN)/python -m tools.capacity --write

.PHONY: demo
demo: env
	$(BIN)/python -m tools.demo

.PHONY: measure-service
measure-service: env
	OMP_NUM_THREADS=1 OPENBLAS_NUM_THREADS=1 $(BIN)/python -m tools.measure_service

# Tests and scenarios run side by side.
.PHONY: unit
unit: env
	@$(BIN)/pytest scenarios >$(VENV)/scenarios.log 2>&1 & scenarios=$$!; \
	$(BIN)/pytest; status=$$?; \
	wait $$scenarios || status=1; cat $(VENV)/scenarios.log; exit $$status

.PHONY: measure
measure: measure-service measure-experts

.PHONY: matrix
matrix: env
	$(BIN)/python -m tools.matrix

.PHONY: scenarios-long
scenarios-long: env
	$(BIN)/pytest scenarios/long

.PHONY: test
test: lint types imports events words unit

.PHONY: bench-relay
bench-relay: env
	$(BIN)/python -m tools.bench_relay --write

.PHONY: lock
lock:
	uv pip compile --generate-hashes --no-header --universal --python-version 3.11 requirements.in -o requirements.lock
	uv pip compile --generate-hashes --no-header --universal --python-version 3.11 requirements-run.in -c requirements.lock -o requirements-run.lock

.PHONY: clean
clean:
	rm -rf $(VENV)

.PHONY: measure-experts
measure-experts: env
	OMP_NUM_THREADS=1 OPENBLAS_NUM_THREADS=1 $(BIN)/python -m tools.measure_experts

# Two builds beside each other: make upgrade-play FROM=COMMIT
.PHONY: upgrade-play
upgrade-play: env
	$(BIN)/python -m tools.upgrade_play $(FROM)
	$(BIN)/python -m tools.upgrade_play $(FROM) --new-first

# Faults from outside on real processes: make soak SEEDS=50 SEED=1
SEEDS ?= 1
SEED ?= 1
.PHONY: soak
soak: env
	$(BIN)/python -m tools.soak --seeds $(SEEDS) --seed $(SEED)
