#!/usr/bin/env bash
# The stand-ins are plain Python without libraries, so there is nothing to compile: this checks that
# they can be imported, and that the build of the deploy file has put its libraries in place.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c "import sys; assert sys.version_info >= (3, 11), 'Python 3.11 or newer'"
python3 -c "import fleet, http1, platform_store, servers"
test -d ../target/deps || { echo "run the build of the deploy file first"; exit 2; }
