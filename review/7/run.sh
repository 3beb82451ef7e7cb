#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/third ] || [ ! -x target/release/wellplank ]; then
  echo "not built: the build of the deploy file, then review/build-2.sh" > review/7/record.txt
  exit 2
fi
exec target/review-2/third keys review/7/record.txt
