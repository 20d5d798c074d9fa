#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p sorrelland --bin sorrelland-standin
