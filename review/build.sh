#!/bin/sh
# Builds the stand-ins and the cases' scripts; needs only the JDK. Classes go to target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standin/*.java
