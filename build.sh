#!/bin/sh
# Put the package and its pinned libraries into one runnable file.
set -eu
cd "$(dirname "$0")"
python=.venv/bin/python
rm -rf build dist/oatcrank
mkdir -p build/site dist
# The libraries are those that `make setup` installed; nothing is downloaded.
"$python" - requirements.txt build/site <<'COPY'
import importlib.metadata
import pathlib
import shutil
import sys

site = pathlib.Path(sys.argv[2])
for line in pathlib.Path(sys.argv[1]).read_text().split():
    name, _, wanted = line.partition('==')
    found = importlib.metadata.distribution(name)
    if found.version != wanted:
        sys.exit(f'{name} is {found.version} here, not {wanted}: make setup')
    for part in found.files or ():
        if '..' in part.parts or '__pycache__' in part.parts:
            continue
        (site / part).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(part.locate(), site / part)
COPY
cp -R oatcrank build/site/
find build/site -name __pycache__ -prune -exec rm -rf {} +
"$python" -m shiv --site-packages build/site \
    --entry-point oatcrank.__main__:main \
    --python '/usr/bin/env python3.11' --reproducible \
    --output-file dist/oatcrank --compressed
echo "built dist/oatcrank"
