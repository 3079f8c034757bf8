# Targets of a checkout. `make test` and `make demo` set up .venv on first use.
PYTHON ?= python3
SEED ?= 1
STEPS ?= 1000000
MINUTES ?= 0.5
BIN := .venv/bin
PACKAGES := core wire entry operator rig
TOOLS := black ruff mypy pytest hypothesis rope types-PyYAML types-protobuf grpc-stubs \
	httpx httpx-sse

.PHONY: test lint demo soak fault-soak setup generate format

setup: .venv/ready

.venv/ready: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt \
		$(foreach p,$(PACKAGES),-e packages/coriandershelf-$(p)) -e platform $(TOOLS)
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/black --check --quiet packages platform tests
	$(BIN)/ruff check --quiet packages platform tests
	$(BIN)/mypy packages/*/src platform/src

format: setup
	$(BIN)/ruff check --quiet --fix packages platform tests
	$(BIN)/black --quiet packages platform tests

demo: setup
	$(BIN)/python -m coriandershelf_rig demo --seed $(SEED)

soak: setup
	$(BIN)/python -m coriandershelf_rig soak --seed $(SEED) --steps $(STEPS)

fault-soak: setup
	$(BIN)/python -m coriandershelf_rig fault-soak --seed $(SEED) --minutes $(MINUTES)

# Needs grpcio-tools; the result is committed, so a build needs no generator.
generate:
	$(BIN)/pip install --quiet -c constraints.txt grpcio-tools
	cd packages/coriandershelf-wire/src && ../../../$(BIN)/python -m grpc_tools.protoc -I. \
		--python_out=. --pyi_out=. --grpc_python_out=. coriandershelf_wire/internal/peer.proto
