#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10, with the JDK alone. Run it in the repository's root.
set -euo pipefail
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -nowarn -d target/review-2 review/standins-2/*.java
