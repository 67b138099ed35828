#!/bin/sh
# Builds the stand-ins and the cases 6 to 10 into target/review-2; needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
