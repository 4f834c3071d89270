# Starts a program of the distribution; sourced by the launchers in this directory.
# The default flags keep a process within the 128 MB of memory that the control plane may use per node.
launch() {
  main=$1
  shift
  here=$(cd "$(dirname "$0")" && pwd)
  lib="$here/../lib"
  [ -d "$lib" ] || lib="$here/../target/dist/lib"
  if [ ! -d "$lib" ]; then
    echo "$0: expected the built jars in $lib; run: mvn -B -DskipTests package" >&2
    exit 2
  fi
  export MALLOC_ARENA_MAX=1
  # shellcheck disable=SC2086
  exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${PLANTAINLOOM_JVM_FLAGS:-$DEFAULT_JVM_FLAGS} \
    -cp "$lib/*" "$main" "$@"
}
DEFAULT_JVM_FLAGS="-XX:+UseSerialGC -Xms12m -Xmx48m -Xss256k -XX:MaxMetaspaceSize=56m \
 -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -XX:TieredStopAtLevel=1 \
 -Xshare:auto -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.numDirectArenas=1 \
 -Dio.netty.allocator.maxOrder=3 -Dcom.linecorp.armeria.numCommonWorkers=2 \
 -Dcom.linecorp.armeria.numCommonBlockingTaskThreads=4"
