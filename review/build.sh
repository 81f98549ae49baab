#!/bin/sh
# Builds the stand-ins of the review's cases into target/ of the repository. They need nothing but
# the standard library.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked --target-dir ../../target/review
