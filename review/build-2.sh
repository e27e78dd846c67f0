#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start, with the standard library alone. It needs no network.
set -eu
cd "$(dirname "$0")/standins-2"
command -v go >/dev/null || PATH="$PATH:/usr/local/go/bin"
mkdir -p bin
CGO_ENABLED=0 GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-mod=readonly GOWORK=off go build -o bin/standins2 .
