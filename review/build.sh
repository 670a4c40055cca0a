#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs of the
# standard library alone, so that building them is to compile them once.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

for path in sorted(pathlib.Path(".").rglob("*.py")):
    try:
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
    except SyntaxError as error:
        sys.exit(f"{path}: {error}")
CHECK
