#!/bin/sh
# Builds every stand-in that the scripts of cases 4 to 8 start. They are python3 files; the entry host is
# built by the deploy file's command.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py
for script in [4-8]/*.py; do [ -f "$script" ] && python3 -m py_compile "$script"; done
rm -rf __pycache__ [4-8]/__pycache__
