#!/bin/bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh. With TROUBLE=0 it plays the
# same without the disruption. What was sent, answered and run goes to review/1/record.txt.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/mulberryplatform ] || { echo "build first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec review/bin/stand zone-power review/1 # writes review/1/record.txt
