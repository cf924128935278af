# Development targets; all but clean first create .venv from requirements.lock.
PY := .venv/bin/python
SEED ?= 1
SEEDS ?= 100
DURATION ?= 60

.PHONY: demo test lint format soak stream-soak repairs bench bench-cut bench-context \
	bench-placement capacity clean

.venv/.ready: requirements.lock pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: .venv/.ready
	bash scripts/demo.sh

test: .venv/.ready
	PYTHONHASHSEED=0 $(PY) -m pytest

lint: .venv/.ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

format: .venv/.ready
	.venv/bin/ruff check --fix .
	.venv/bin/ruff format .

soak: .venv/.ready
	$(PY) -m medlarrail.testing.soak --seed $(SEED) --duration $(DURATION)

stream-soak: .venv/.ready
	$(PY) -m medlarrail.platform.soak --seed $(SEED) --duration $(DURATION)

repairs: .venv/.ready
	PYTHONHASHSEED=0 $(PY) -m pytest medlarrail/consensus/membership_test.py \
		medlarrail/consensus/replacement_test.py -k random --first-seed $(SEED) --seeds $(SEEDS)

bench: .venv/.ready
	PYTHONHASHSEED=0 .venv/bin/medlar-standin bench --seed $(SEED)

bench-cut: .venv/.ready
	PYTHONHASHSEED=0 .venv/bin/medlar-standin cut --seed $(SEED)

bench-context: .venv/.ready
	PYTHONHASHSEED=0 .venv/bin/medlar-standin context --seed $(SEED)

bench-placement: .venv/.ready
	PYTHONHASHSEED=0 .venv/bin/medlar-standin placement --seed $(SEED)

capacity: .venv/.ready
	.venv/bin/medlar-standin capacity

clean:
	rm -rf .venv run .pytest_cache .ruff_cache .hypothesis
