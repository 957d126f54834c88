#!/bin/sh
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/standin-2/Cargo.toml
