#!/bin/sh
# Builds the stand-ins of all cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")"
GOWORK="$PWD/go.work" go build -o bin/ ./cases/...
