#!/bin/sh
# Builds the stand-in of the third review's scripts, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standin3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/standin3 .
