#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Run after the
# `build` line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in lab/*.cc; do
  g++ -std=c++20 -O1 -pthread -o "build/$(basename "$source" .cc)" "$source"
done
