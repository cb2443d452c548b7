#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --offline --locked --quiet
