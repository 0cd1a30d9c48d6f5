#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 5 and 6 start, beside the project's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bed ./review/bed
