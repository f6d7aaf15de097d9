#!/usr/bin/env bash
# The stand-ins are plain Python and need no build of their own. The cases run the programs that
# `bash deploy/build` puts under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/product ] || bash deploy/build
