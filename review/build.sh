#!/bin/bash
# Builds what the cases start beside the programs of the deploy file: form servers, discovery and clients, with nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
command -v go >/dev/null || export PATH="$PATH:/usr/local/go/bin"
mkdir -p ../bin
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-mod=readonly GOPROXY=off go build -buildvcs=false -o ../bin/standins .
