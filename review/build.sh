#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the review start. The project's own programs are built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/target/ ./review/kit
