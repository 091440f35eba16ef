#!/usr/bin/env bash
# Builds the program that plays the cases of the review, with the project's stand-ins in it, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/_kit/casekit
