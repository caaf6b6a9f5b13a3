#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/15. They are Python 3 (standard library): there is nothing to
# compile, only to check. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-3/*.py review/1[1-5]/*.py tests/platform/platform_fleet.py tests/platform/simulated_upstreams.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
