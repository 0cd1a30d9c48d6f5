#!/bin/sh
# Builds the programs of the cases 10 to 13, with the stand-ins that they start, and those of more3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in 10 11 12 13 more3/limit more3/fuzz; do
	go build -o "target/review-3/$(basename "$program")" "./review/$program"
done
