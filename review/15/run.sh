#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -d target/review-3 ] || [ ! -d target/entry ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
timeout -k 5 117 java -Xmx2g -XX:+UseSerialGC -Dsun.net.httpserver.nodelay=true -cp target/review-3 CrashPart "review/15"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
