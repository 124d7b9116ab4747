#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy
# file. They need only packages that the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046,SC2086
  cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter ${CFLAGS:-} \
    -o "target/review-3/case-$number" "$source" review/standins-3/world.c \
    $(pkg-config --cflags --libs glib-2.0 json-glib-1.0) ${LDFLAGS:-}
done
