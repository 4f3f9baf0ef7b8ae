#!/bin/sh
# Builds the stand-ins and clients that the cases of the second review start.
set -e
cd "$(dirname "$0")/.."
for n in 6 9; do
	go build -buildvcs=false -o "target/review-2/$n" "./review/$n"
done
