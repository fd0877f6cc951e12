#!/bin/sh
# play.sh CASE FOLDER: runs a case of the second review. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
root="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(cd "$2" && pwd)"
cd "$root" || exit 2
for program in target/stoneford-pool target/stoneford-control target/review-2/rig; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
disrupt=true
[ "$TROUBLE" = 0 ] && disrupt=false
exec target/review-2/rig -case "$1" -disrupt=$disrupt -record "$folder/record.txt" -pool target/stoneford-pool -control target/stoneford-control
