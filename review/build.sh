#!/bin/bash
# The stand-ins are Python programs of the standard library alone: there is nothing to compile.
# This checks that the interpreter can read them, and that the daemon of the deploy file is built.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - standin.py */case.py <<'CHECK'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
CHECK
test -x ../target/release/deckwindd || echo "build the daemon first: the command of deploy/system.toml"
