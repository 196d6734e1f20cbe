#!/usr/bin/env bash
# Plays the case of claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"target/review-2/case-$(basename "$here")" "$here/record.txt" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
