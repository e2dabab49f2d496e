#!/bin/sh
# Put the libraries and a compiled copy of the package under target/.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/deps -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r requirements.txt
    python3 -m compileall -q target/deps
    touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -R oatcrank target/app/oatcrank
cp deploy/main.py target/app/__main__.py
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app
