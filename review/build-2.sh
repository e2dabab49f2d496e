#!/bin/sh
# Build the stand-ins of the cases from 6 on: Python files that need nothing
# besides the interpreter that runs the product.
set -eu
cd "$(dirname "$0")"
if ! python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
    echo "the stand-ins need Python 3.11" >&2
    exit 1
fi
for folder in lab-2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
