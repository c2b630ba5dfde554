#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-2 .
