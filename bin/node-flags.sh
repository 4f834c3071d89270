# JVM flags of plantainloom-node. deploy/system.toml repeats them because the platform starts the node
# without a shell.
NODE_FLAGS="-XX:+UseSerialGC -Xms16m -Xmx64m -Xss256k -XX:MaxMetaspaceSize=64m \
 -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -XX:TieredStopAtLevel=1 -Xshare:auto \
 -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.numDirectArenas=1 \
 -Dio.netty.allocator.maxOrder=3 -Dcom.linecorp.armeria.transportType=nio \
 -Dcom.linecorp.armeria.numCommonWorkers=1 -Dcom.linecorp.armeria.numCommonBlockingTaskThreads=1 \
 -Dcom.linecorp.armeria.tlsEngineType=jdk -Djavax.net.ssl.trustStore=NONE \
 -Dio.netty.machineId=00:00:00:00:00:00:00:01 -Dio.netty.processId=1 -Djava.locale.providers=COMPAT"
