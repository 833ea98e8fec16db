PYTHON ?= python3.11
BIN := .venv/bin
PACKAGES := $(sort $(wildcard libs/*) $(wildcard daemons/*) platform)
SOURCES := libs daemons platform deploy tests bench

.PHONY: setup demo test faults lint format bench-control bench-requests bench-placement bench-quarantine bench-coincidence bench-quotas bench-teams bench-scheduling fuzz soak owner-plays proofs proto

setup: .venv/.installed

.venv/.installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r constraints.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation \
	  --no-deps $(addprefix -e ./,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m pytest -q tests

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(SOURCES)

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench-control: setup
	$(BIN)/python -m bench.control

faults: setup
	$(BIN)/python -m bench.faults $(SEED)

bench-requests: setup
	$(BIN)/python -m bench.requests

bench-scheduling: setup
	$(BIN)/python -m bench.scheduling

bench-quotas: setup
	$(BIN)/python -m bench.quotas

bench-placement: setup
	$(BIN)/python -m bench.placement

bench-teams: setup
	$(BIN)/python -m bench.teams

bench-quarantine: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.quarantine

bench-coincidence: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.coincidence

fuzz: setup
	$(BIN)/python -m bench.fuzz $(SEED) $(COUNT)

soak: setup
	$(BIN)/python -m bench.soak $(SEED) $(COUNT)

owner-plays: setup
	$(BIN)/python -m bench.owner_plays $(SEED) $(COUNT)

proofs: setup
	$(BIN)/python -m bench.prove

PEER_PROTO := libs/peers/src/coltsfootseam/peers/internal
proto: setup
	$(BIN)/python -m grpc_tools.protoc -I libs/peers/src \
	  --python_out=libs/peers/src --pyi_out=libs/peers/src \
	  --grpc_python_out=libs/peers/src \
	  $(PEER_PROTO)/peer.proto
