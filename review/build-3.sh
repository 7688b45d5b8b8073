#!/bin/sh
# Builds the stand-ins of the third review's cases that are scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/play review/standins-3/main.rs
