#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="-buildvcs=false" GOWORK=off go build -o ../target/review-standin .
