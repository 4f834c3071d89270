package org.plantainloom.program.standin;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Post;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.StoreRevision;
import org.plantainloom.state.VmListing;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.Replies;

/** HTTP face of the platform in the small: store, VM list, faults, and the ledger. */
final class PlatformService {
  private final ProcessContext process;
  private final ExecutionLedger ledger;
  private final InMemoryStore store;
  private final RestorableUniformRandomProvider random;
  private volatile Faults faults = Faults.none();
  private volatile List<InMemoryWorker> workers = List.of();

  PlatformService(ProcessContext process, ExecutionLedger ledger, long seed) {
    this.process = process;
    this.ledger = ledger;
    this.store = new InMemoryStore(process.time());
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  Faults faults() {
    return faults;
  }

  void workersAre(List<InMemoryWorker> newWorkers) {
    workers = newWorkers;
  }

  void advance() {
    workers.forEach(InMemoryWorker::advance);
  }

  /** Returns the list of VMs. */
  @Get("/vms")
  public HttpResponse vms() {
    return Replies.ok(
        VmListing.of(process.nowMs(), workers.stream().map(InMemoryWorker::info).toList()));
  }

  /** Switches faults on and off. */
  @Post("/faults")
  public HttpResponse setFaults(String body) {
    faults = Json.read(body, Faults.class);
    return Replies.ok(faults);
  }

  /** Returns what the workers counted. */
  @Get("/ledger")
  public HttpResponse ledger() {
    return Replies.ok(ledger.summary());
  }

  /** Returns the service that answers for the store. */
  HttpService storeService() {
    return (ctx, request) ->
        HttpResponse.of(
            request
                .aggregate()
                .thenCompose(whole -> delayed().thenCompose(x -> answer(ctx, whole))));
  }

  private CompletableFuture<Void> delayed() {
    return new CompletableFuture<Void>()
        .completeOnTimeout(null, faults.storeDelayMs(), TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<HttpResponse> answer(
      ServiceRequestContext ctx, AggregatedHttpRequest request) {
    if (faults.storeDown()) {
      return CompletableFuture.completedFuture(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
    }
    String key = ctx.mappedPath().substring(1);
    if (request.method() == HttpMethod.PUT) {
      return write(key, ctx, request.contentUtf8());
    }
    String prefix = ctx.queryParam("prefix");
    if (prefix != null) {
      return CompletableFuture.completedFuture(Replies.ok(store.list(prefix)));
    }
    String known = ctx.queryParam("watch");
    if (known == null) {
      return CompletableFuture.completedFuture(read(key));
    }
    long waitMs = Long.parseLong(ctx.queryParam("waitMs"));
    return store.changed(key, Long.parseLong(known), waitMs).thenApply(x -> read(key));
  }

  private HttpResponse read(String key) {
    return store.read(key).map(Replies::ok).orElse(HttpResponse.of(HttpStatus.NOT_FOUND));
  }

  private CompletableFuture<HttpResponse> write(
      String key, ServiceRequestContext ctx, String value) {
    HttpResponse answer = written(key, ctx, value);
    boolean lost = random.nextInt(100) < faults.loseAnswerPercent();
    return lost ? new CompletableFuture<>() : CompletableFuture.completedFuture(answer);
  }

  private HttpResponse written(String key, ServiceRequestContext ctx, String value) {
    String ttlMs = ctx.queryParam("ttlMs");
    if (ttlMs != null) {
      long revision = store.putLeased(key, value, Long.parseLong(ttlMs));
      return Replies.ok(new StoreRevision(revision));
    }
    long expected = Long.parseLong(ctx.queryParam("expect"));
    OptionalLong revision = store.compareAndSwap(key, expected, value);
    return revision.isPresent()
        ? Replies.ok(new StoreRevision(revision.getAsLong()))
        : HttpResponse.of(HttpStatus.CONFLICT);
  }
}
