#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs the toolchain only; the project's own program is
# built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for main in review/*/main.rs; do
    case_dir=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "$out/case-$case_dir" "$main"
done
