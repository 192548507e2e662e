#!/usr/bin/env bash
# Builds the rig that the scripts of the cases start. It holds the stand-ins of the
# platform's store, the endpoints, the load balancer and the callers.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off go build -o ../target/review-rig ./rig
