#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -o bin/review-rig2 ./review/rig2
