#!/bin/bash
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/stage-3 ./review/stand-3
