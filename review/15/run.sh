#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/standin 15 review/15/record.txt target/release/plantaincross-platform
