#!/bin/sh
# Builds the stand-ins and cases of the third review. They use the standard library alone, so that
# this needs no network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --locked --offline \
    --manifest-path review/harness-3/Cargo.toml
