#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
mkdir -p "review/$1"
timeout -k 1 118 java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.maxIdleConnections=2000 -Drig.root="$PWD" -Drig.record="review/$1/record.txt" $RIG_FLAGS \
  -cp "target/review:target/dist/lib/*" "$2"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
