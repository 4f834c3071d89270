package org.plantainloom.transport.platform;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.VmListingReader;
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
  private final DecodeErrorLog entryErrors = new DecodeErrorLog();

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
                        ? Optional.of(listingOf(reply.body()))
                        : Optional.<VmListing>empty(),
                Optional.empty()));
  }

  private VmListing listingOf(String body) {
    Set<String> unreadable = new HashSet<>();
    VmListing listing =
        VmListingReader.read(
            body,
            (name, error) -> {
              unreadable.add(name);
              entryErrors.failed(name, error);
            });
    entryErrors.retain(unreadable);
    return listing;
  }
}
