#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
d=$(cd "$(dirname "$0")" && pwd)
cd "$d/../.." && [ -x target/review-3 ] && [ -x target/dragonflydoor ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review-3 left-server "$d/record.txt"
