#!/usr/bin/env bash
# Plays the case once; see claim.txt. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
RECORD="$here/record.txt" timeout --kill-after=5 110 review/.build/earlier_birth
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
