#!/bin/bash
# An order of the operator that waited at a frozen control process; TROUBLE=0 leaves out the freeze.
cd "$(dirname "$0")" && exec python3 -B case.py
