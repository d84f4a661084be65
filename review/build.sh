#!/bin/bash
# Builds the stand-in program of the scripts: review/bin/stand. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
for f in stand/*.go.txt; do
	cp "$f" "$tmp/$(basename "$f" .txt)"
done
printf 'module stand\n\ngo 1.26\n' >"$tmp/go.mod"
mkdir -p bin
out=$PWD/bin/stand
cd "$tmp"
GOWORK=off GOFLAGS=-mod=mod go build -o "$out" .
