#!/bin/sh
# Builds the stand-ins of the review. They are Python and need only the standard
# library, so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/support/deploy_templates.py \
    tests/support/network.py tests/__init__.py tests/support/__init__.py
