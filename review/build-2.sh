#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10 into target/review-2. Needs only what the
# deploy file lists: a compiler and the headers of Boost.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source" -pthread
done
