#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, without a network. The
# build command of the deploy file builds the node.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
