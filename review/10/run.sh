#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out. It needs target/router, as the deploy
# file builds it, and what review/build-2.sh builds.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/router ] && [ -x review/rig2/target/rig2 ] || { echo "build first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec review/rig2/target/rig2 parts "$here/record.txt"
