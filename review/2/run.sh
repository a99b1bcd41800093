#!/usr/bin/env bash
# Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marblering ] && [ -x target/review/case2 ] || { echo "build target/marblering and review/build.sh first"; exit 2; }
exec target/review/case2
