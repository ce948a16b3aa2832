#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin review/standin-2/*.go
