#!/usr/bin/env bash
# run-2.sh CASE FOLDER: plays a case of the second review with the programs in target/; its record goes to FOLDER.
# Builds before: the build of the deploy file, review/build-2.sh.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
programs=$root/target
player=$programs/review-2/standins-2
for needed in "$player" "$programs/galenarelay-relay-balancer" "$programs/galenarelay-relay-agent"; do
  [ -x "$needed" ] || { echo "$needed isn't built" >&2; exit 2; }
done
work=$(mktemp -d) || exit 2
# A killed player leaves no processes behind: they are in its group.
timeout --kill-after=2 110 "$player" "$1" "$programs" "$work" "$2/record.txt"
status=$?
rm -rf "$work"
[ "$status" -le 1 ] || status=2
exit "$status"
