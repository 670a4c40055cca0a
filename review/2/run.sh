#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. What was
# sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
