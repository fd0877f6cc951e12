#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
. deploy/go-path.sh
go build -o target/review-2/rig ./review/rig
