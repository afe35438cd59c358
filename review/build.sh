#!/bin/sh
# Builds the stand-ins and callers of the cases. Needs no network: they use the standard library.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
  --manifest-path review/harness/Cargo.toml --target-dir target/review
