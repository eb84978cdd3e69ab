#!/usr/bin/env bash
# Builds the stand-ins of the cases; the daemon is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 review/standin/main.rs -o target/review/standin
