#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/platform/case2 ./review/platform/case3
