#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: Python modules under review/lab. They
# need the deploy file's build (target/deps) and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review/lab
python3 -c "import review.lab.deployment"
