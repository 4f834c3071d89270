package org.plantainloom.transport.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.VmList;
import org.plantainloom.state.VmListing;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.JsonClient;

/** Adapter to the platform's list of VMs. */
public final class HttpVmList implements VmList {
  private static final long TIMEOUT_MS = 2_000;

  private final JsonClient client;
  private final String address;
  private final DecodeErrorLog errors = new DecodeErrorLog();

  /** Creates the adapter to the list at the address. */
  public HttpVmList(JsonClient client, String address) {
    this.client = client;
    this.address = address;
  }

  @Override
  public CompletableFuture<Optional<VmListing>> list() {
    return client
        .get(address, "/vms", TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(
                errors,
                "VM list",
                reply ->
                    reply.isSuccess()
                        ? Optional.of(Json.read(reply.body(), VmListing.class))
                        : Optional.<VmListing>empty(),
                Optional.empty()));
  }
}
