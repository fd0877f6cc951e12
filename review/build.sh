#!/usr/bin/env bash
# Builds the stand-ins of the review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
. deploy/go-path.sh
go build -o target/review-standins ./review/standins
