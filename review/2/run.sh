#!/bin/sh
# Runs the case; the deploy file's build and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/peridotdeck-node || exit 2
test -x target/review/standins || exit 2
exec target/review/standins taken-up review/2
