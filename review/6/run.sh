#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case6 couldn't run. With TROUBLE=0,
# leaves the disruption out. Needs target/ as the deploy file builds it, and review/build-2.sh.
cd "$(dirname "$0")/../.."
exec target/review-2/case6 "$PWD" review/6/record.txt
