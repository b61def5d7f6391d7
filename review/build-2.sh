#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are
# Python modules without dependencies; the build of deploy/system.toml comes
# first.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig 6 7 8 9 10
