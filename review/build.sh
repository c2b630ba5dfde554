#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
