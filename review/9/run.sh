#!/usr/bin/env bash
# Case 9: a release replaces the decode replicas, and streams of their version are refused beside two prefill replicas of it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the release.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
standin=$PWD/target/review-2/standin
[ -x "$standin" ] && [ -x target/release/waxwing-gateway ] || exit 2
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER RECORD=$here/record.txt
finish() {
    # Only processes that this case started.
    while read -r id; do kill -s KILL "$id"; done <"$CASE_FOLDER/ids"
    rm -rf "$CASE_FOLDER"
} 2>/dev/null
trap finish EXIT
timeout 110 "$standin" case stages
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
