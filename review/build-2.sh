#!/bin/bash
# Builds the stand-ins and clients that the scripts of the second review (cases 6 to 10) start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/stand-2 ./review/stand-2
