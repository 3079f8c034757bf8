#!/usr/bin/env bash
# Installs what the entry VM's process needs, by the repository's constraints, under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/.installed
if ! [ "$stamp" -nt constraints.txt ] || ! [ "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
for source in packages/coriandershelf-core packages/coriandershelf-entry platform; do
    cp -r "$source"/src/. target/deps/
done
