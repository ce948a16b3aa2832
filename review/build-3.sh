#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/14 start, as target/standin-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3 review/standin-3/*.go
