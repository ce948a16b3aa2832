#!/usr/bin/env bash
# One core is down for a few seconds while another one loses its disk; takes about 70 s. TROUBLE=0 plays the same without that.
# Exits with 1 if the system doesn't serve again, 0 if it does, 2 if the case couldn't run.
case_dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
[ -x target/review-2/standin ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/standin -case regrouped -record "$case_dir/record.txt"
