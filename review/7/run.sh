#!/bin/sh
# Exits with 1 if a request reached a runner too late, 0 if none did, 2 if the case could not run.
# TROUBLE=0 runs it without the cut. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oleanderspool ] && [ -x target/review-2 ] || exit 2
exec target/review-2 7 review/7
