#!/bin/sh
# Builds the stand-ins and the driver of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/harness-3
