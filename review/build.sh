#!/bin/sh
# Builds the stand-ins and cases of the review; the deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
