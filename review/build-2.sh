#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: target/review-2/bin/NUMBER from review/NUMBER/*.go.src
# and the shared review/*.go.src. The copies of the sources are removed again.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/bin"
for folder in review/[4-8]; do
	ls "$folder"/*.go.src >/dev/null 2>&1 || continue
	case=$(basename "$folder")
	copies="$out/case$case"
	mkdir -p "$copies"
	for source in review/*.go.src "$folder"/*.go.src; do
		cp "$source" "$copies/$(basename "$source" .src)"
	done
	go build -o "$out/bin/$case" "./$copies"
	rm -rf "$copies"
done
