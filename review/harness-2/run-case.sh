#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER-OF-THE-CASE. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run.
set -u
name=$1
case_folder=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/cases
if [ ! -x "$program" ] || [ ! -x "$root/target/lovaged-platform" ]; then
    echo "build with the line of deploy/system.toml and with review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
cleanup() {
    # The case ends its processes itself; these are left only if it was interrupted.
    while read -r pid; do
        [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/target/lovaged-platform" ] && kill -9 "$pid"
    done < <(cat "$folder/pids" 2>/dev/null)
    [ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
    rm -rf "$folder"
}
trap cleanup EXIT
timeout 115 "$program" "$name" "$root" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
tail -n 1 "$case_folder/record.txt" 2>/dev/null
exit "$status"
