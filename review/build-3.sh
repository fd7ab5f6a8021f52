#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. It needs no network and no
# module but the standard library.
set -e
cd "$(dirname "$0")/stand3"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/stand3 .
