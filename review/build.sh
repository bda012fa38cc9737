#!/usr/bin/env bash
# The stand-ins are Python and need no build: this checks that they load with the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/app:target/deps:review python3 -c "import standins.cluster, standins.sites"
