#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dragonflydoor ] && [ -x review/bin/harness ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec review/bin/harness lost-watchers review/5
