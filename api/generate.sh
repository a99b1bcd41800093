#!/usr/bin/env bash
# Generates the Go code of the protobuf files. Needs protoc (Debian package
# protobuf-compiler); the Go plugins come from the module's tool directives.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-.}
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I api \
  --go_out="$out" --go_opt=module=github.com/marblering/marblering \
  --connect-go_out="$out" --connect-go_opt=module=github.com/marblering/marblering \
  api/state/v1/state.proto api/peer/v1/peer.proto
gofmt -w "$out/api"
