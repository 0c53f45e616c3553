#!/usr/bin/env bash
# Builds the stand-ins that the scripts start into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./cmd/standin
cd review/harness
go test -c -o ../bin/harness .
