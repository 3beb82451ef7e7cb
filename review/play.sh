#!/usr/bin/env bash
# Plays a case: play.sh CASE RECORD TROUBLE. Exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
set -u
record=$2
cd "$(dirname "$0")/.."
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
timeout --signal=KILL 115 target/review/stand-in "$1" --program target/release/wellplank --folder "$folder" \
    --record "$record" --trouble "$3"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
