#!/bin/bash
# Builds the stand-ins of the review's cases into review/bin. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/standin
