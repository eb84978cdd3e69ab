#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -um
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/release/waxwing-gateway ] && [ -x target/review/standin ] || exit 2
folder=$(mktemp -d) || exit 2
# The stand-ins and the daemons that they start form a process group of their own.
target/review/standin resume "$folder" &
group=$!
(sleep 110 && kill -KILL -- "-$group") 2>/dev/null &
watchdog=$!
wait "$group"
code=$?
kill -KILL -- "-$group" "-$watchdog" 2>/dev/null
wait 2>/dev/null
[ -f "$folder/record.txt" ] && cp "$folder/record.txt" "$case_folder/record.txt"
rm -rf "$folder"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
