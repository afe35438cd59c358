#!/bin/sh
# Builds the programs of the cases 6 to 10. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
