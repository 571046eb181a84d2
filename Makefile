PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
NAME ?= path
SEED ?= 1

.PHONY: setup demo test lint bench fuzz soak proto

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(VENV)/ready

demo: setup
	KEEP=$(KEEP) $(BIN)/python -m demo.run

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python -m features.run

bench: setup
	$(BIN)/python -m benchmarks $(NAME) --seed $(SEED)

fuzz: setup
	$(BIN)/python -m fuzz $(NAME) --seed $(SEED)

soak: setup
	$(BIN)/python -m soak --seed $(SEED) --seeds 50

# Needs grpcio-tools; the generated code is committed.
proto:
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. \
		pimentogap/peers/proto/peers.proto
