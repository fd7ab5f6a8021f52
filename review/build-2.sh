#!/bin/sh
# Builds the stand-ins of the scripts of the second review, review/6 to review/10.
cd "$(dirname "$0")/stand2" || exit 2
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-2 .
