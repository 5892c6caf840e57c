#!/bin/sh
# Builds the stand-ins that the scripts start. The daemon is built by the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
