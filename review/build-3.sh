#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. They use the standard library
# only and need no network.
cd "$(dirname "$0")/stand3" || exit 2
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off exec go build -o ../../target/stand3 .
