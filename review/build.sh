#!/bin/sh
# Builds the stand-ins of the scripted cases: they need nothing but Python.
set -e
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
python3 -m py_compile *.py */*.py
rm -rf "$PYTHONPYCACHEPREFIX"
