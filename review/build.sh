#!/bin/bash
# Builds the stand-ins that the scripts start. It needs only the standard library.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/standin review/standin/*.go
