#!/usr/bin/env bash
# Builds the stand-in of cases 11 to 14, after the build of the deploy file. Needs no network once the modules of the project are there.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-standin-3 ./review/standin-3
