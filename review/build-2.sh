#!/bin/bash
# Builds the stand-ins of the second review. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --locked --offline --release --manifest-path review/outsiders-2/Cargo.toml --target-dir target/review-2
