#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS= go build -o target/rig2 .
