#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/rig3 .
