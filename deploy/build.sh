#!/bin/sh
# Put the libraries and a compiled copy of the package under target/.
# What is there already and still the same is left alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if ! [ target/deps -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r requirements.txt
    python3 -m compileall -q target/deps
    touch target/deps
fi
sum=$(find oatcrank deploy/main.py -name '*.py' -exec sha256sum {} + |
    LC_ALL=C sort | sha256sum)
if [ -e target/app/sum ] && [ "$(cat target/app/sum)" = "$sum" ]; then
    exit 0
fi
rm -rf target/app.new
mkdir target/app.new
cp -R oatcrank target/app.new/oatcrank
cp deploy/main.py target/app.new/__main__.py
find target/app.new -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app.new
echo "$sum" > target/app.new/sum
rm -rf target/app
mv target/app.new target/app
