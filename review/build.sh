#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/main.rs
