#!/bin/sh
# Build the stand-ins that the scripts start.  They need Python 3.11 only and
# run from their sources, so that building checks that these compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
