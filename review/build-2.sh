#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.c; do
  name=$(basename "$source" .c)
  [ "$name" = rig ] || gcc -std=gnu11 -O1 -g -Wall -Wextra -pthread -o "target/review-2/$name" \
    "$source" review/standins-2/rig.c
done
