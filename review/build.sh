#!/usr/bin/env bash
# Builds the program of each case, with its stand-ins, to target/review/. The sources are
# NAME.go.txt, since the checks of the repository read every .go file: they are copied to a
# folder under target/, built there and removed. The sources beside this file belong to
# every program.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=target/review/source
trap 'rm -rf "$sources"' EXIT
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  compgen -G "review/$number/*.go.txt" >/dev/null || continue
  rm -rf "$sources"
  mkdir -p "$sources"
  for file in review/*.go.txt "review/$number"/*.go.txt; do
    cp "$file" "$sources/$(basename "$file" .txt)"
  done
  go build -ldflags=-linkmode=external -o "target/review/case$number" "./$sources"
done
