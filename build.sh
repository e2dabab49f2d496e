#!/bin/sh
# Put the package and its pinned libraries into one runnable file.
set -eu
cd "$(dirname "$0")"
rm -rf build dist/oatcrank
mkdir -p build/site dist
.venv/bin/python -m pip install --quiet --disable-pip-version-check \
    --no-compile --target build/site -r requirements.txt
cp -R oatcrank build/site/
.venv/bin/shiv --site-packages build/site --entry-point oatcrank.__main__:main \
    --python '/usr/bin/env python3.11' --reproducible \
    --output-file dist/oatcrank --compressed
echo "built dist/oatcrank"
