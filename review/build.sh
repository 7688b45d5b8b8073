#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project's own programs are built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/main.rs
