#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p sorrelland --bin sorrelland-standin
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/src/main.rs
