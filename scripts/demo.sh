#!/usr/bin/env bash
# Installs packages, builds, and runs both example deployments on loopback with
# real browse and booking requests through three services.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
/usr/bin/python3 scripts/demo.py
