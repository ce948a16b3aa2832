#!/bin/bash
# Runs case "foreign" once; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
exec review/bin/standin foreign review/5
