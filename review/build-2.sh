#!/usr/bin/env bash
# Builds what the scripts under review/4 to review/6 start besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/platform/flood ./review/platform/storm ./review/platform/memory
