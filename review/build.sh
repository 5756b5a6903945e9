#!/bin/sh
# Builds the stand-ins of the cases into target/, which is not committed.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target
go build -o ../../target/reviewstand .
