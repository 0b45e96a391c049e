#!/bin/sh
# Builds the stand-ins of the scripted cases into target/review. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
