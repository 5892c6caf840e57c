#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10. The daemon is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/stand2 ./review/stand2
