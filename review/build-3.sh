#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs Go and the modules of this repository, and no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/stand3 ./review/stand3
