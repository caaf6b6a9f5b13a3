#!/bin/bash
# Builds what the scripts of review/ start. The stand-ins are Python programs of the standard library, so
# that there is nothing to compile; checks that the interpreter and the program under test are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
sys.exit(0 if sys.version_info >= (3, 11) else "the stand-ins need Python 3.11 or newer")
PY
for program in review/support/*.py review/[1-5]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$program"
done
[ -x target/bin/lycheereach-platform ] || echo "target/bin/lycheereach-platform is missing: run the build of deploy/system.toml first" >&2
