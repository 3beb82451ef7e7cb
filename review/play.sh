#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CASE. Writes record.txt into the folder; exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$1" && pwd)
cd "$here/../.."
for program in target/release/wellplank target/review/stand-in; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the system, and then run review/build.sh"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
# Whatever becomes of the stand-in, no process of the system is left behind; runners end with their standard input.
clean() {
    while read -r process; do
        if grep -q "$folder" "/proc/$process/cmdline" 2> /dev/null; then
            kill -KILL "$process"
        fi
    done 2> /dev/null < "$folder/processes"
    rm -rf "$folder"
}
trap clean EXIT
timeout --signal=KILL 115 target/review/stand-in "$2" --program target/release/wellplank --folder "$folder" \
    --record "$here/record.txt" --trouble "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
