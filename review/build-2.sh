#!/bin/bash
# Builds the stand-ins of the cases review/6 to review/10: target/review-stand2.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp review/stand2/go.mod "$work/"
for f in review/stand2/*.go.txt; do
	cp "$f" "$work/$(basename "$f" .txt)"
done
mkdir -p target
out=$PWD/target/review-stand2
cd "$work"
GOWORK=off GOTOOLCHAIN=local go build -o "$out" .
