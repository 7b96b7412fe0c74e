#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review. It needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
