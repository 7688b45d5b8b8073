#!/bin/sh
# Builds the stand-ins of the cases that are scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/play review/standins/main.rs
