#!/bin/sh
# Puts the locked libraries and the packages of this workspace into target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e target/deps/.ready ] || [ requirements-run.lock -nt target/deps/.ready ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target target/deps -r requirements-run.lock
    touch target/deps/.ready
fi
# Processes of another run may be reading what is there: nothing is replaced by the same.
sources=$(find packages/*/src platform -name '*.py' | sort | xargs cksum | cksum)
if [ "$sources" = "$(cat target/deps/.sources 2>/dev/null)" ]; then
    exit 0
fi
rm -rf target/deps/bergamotchute_*
cp -R packages/*/src/bergamotchute_* platform/bergamotchute_platform target/deps/
rm -rf target/deps/*.egg-info
python3 -m compileall -q target/deps
echo "$sources" > target/deps/.sources
