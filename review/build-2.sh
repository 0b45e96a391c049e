#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 review/standin-2/main.rs -o target/review-2/standin-2
