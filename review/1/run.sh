#!/bin/bash
# The loss of a disk after the replacement of a control process; TROUBLE=0 leaves both out.
cd "$(dirname "$0")" && exec python3 -B case.py
