import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a worker, as PROTOCOL.md describes it. The spec of a job says what its tasks do:
 * {@code ms=N} for a task that ends as done after N ms of work, {@code lasts} for one that lasts.
 */
final class Worker {
  static final long MAX_HOLD_MS = 6_000;
  private static final int MAX_LISTED_ENDS = 500;
  private static final long STOP_MS = 50;

  /** Longer than any caller waits. */
  private static final long NEVER_MS = 10_000;

  private static final Pattern WORK = Pattern.compile("ms=([0-9]+)");

  /** One run of a task, as the stand-in has seen it. */
  static final class Run {
    final String task;
    final long number;
    final Worker worker;
    final long startMs = Http.nowMs();
    final long workMs;
    long endMs;
    String how = "";

    /** When last-seen reached the end; 0 if it has not, or the lease lapsed before. */
    long notedMs;

    /** Whether the worker's lease lapsed after the end and before it was taken note of. */
    boolean lapsedBeforeNoted;

    Run(String task, long number, Worker worker, long workMs) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.workMs = workMs;
    }

    @Override
    public String toString() {
      return task + " run " + number + " on " + worker.id + " from " + Log.seconds(startMs) + " to "
          + (endMs == 0 ? "-" : Log.seconds(endMs) + " " + how)
          + (notedMs == 0 ? "" : ", noted at " + Log.seconds(notedMs));
    }
  }

  private record End(long number, Run run) {}

  /** All runs on all workers, in the order of their starts. */
  static final List<Run> ALL = new ArrayList<>();

  final String id;
  final String zone;
  final int cpu;
  private final Store store;
  private final long heartbeatMs;
  private final Http http;
  private List<String> labels;
  private long bornMs;
  private long bootMs;
  private long highestToken;
  private long leaseUntilMs;
  private long lastEnd;
  private long lastBeatMs;
  private long lastAnswerMs;
  private long nextBeatNumber;
  private final List<Run> running = new ArrayList<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<String, Long> highestEnded = new HashMap<>();
  private String state = "ready";
  private boolean unhealthy;
  private boolean cut;
  private boolean cutFromStore;
  private boolean down;
  private boolean dark;

  /** Channels that were open when the worker lost power; they are unknown to the new boot. */
  private final Set<Integer> oldChannels = new HashSet<>();

  private final Set<Integer> channels = new HashSet<>();
  private int refusedStarts;

  Worker(String id, String zone, List<String> labels, int cpu, Store store, long heartbeatMs) throws Exception {
    this.id = id;
    this.zone = zone;
    this.labels = labels;
    this.cpu = cpu;
    this.store = store;
    this.heartbeatMs = heartbeatMs;
    this.http = new Http(this::handle);
    boot();
    Thread timer = new Thread(this::tickForever, "worker-" + id);
    timer.setDaemon(true);
    timer.start();
  }

  private synchronized void boot() {
    bornMs = System.currentTimeMillis();
    bootMs = Http.nowMs();
    highestToken = 0;
    leaseUntilMs = 0;
    lastEnd = 0;
    nextBeatNumber = 0;
    ends.clear();
    highestEnded.clear();
    down = false;
    dark = false;
    beat();
    notifyAll();
  }

  private long clock() {
    return Http.nowMs() - bootMs;
  }

  /** The worker answers all starts with 503 and does nothing for them, or is healthy again. */
  synchronized void setUnhealthy(boolean newUnhealthy) {
    unhealthy = newUnhealthy;
    Log.line(id, newUnhealthy ? "turns away all starts with 503" : "takes starts again");
  }

  /** Cuts the worker off from the store, or heals the cut. */
  synchronized void setCutFromStore(boolean newCut) {
    cutFromStore = newCut;
    Log.line(id, newCut ? "cut off from the store" : "reaches the store again");
  }

  /** Cuts the worker off from all machines, or heals the cut. */
  synchronized void setCut(boolean newCut) {
    cut = newCut;
    Log.line(id, newCut ? "cut off from all machines, runs on" : "machines reach it again");
    notifyAll();
  }

  synchronized void drain() {
    state = "draining";
    Log.line(id, "reports that it drains");
    beat();
  }

  /** Crashes: everything that runs is gone, and channels are reset. */
  synchronized void crash() {
    down = true;
    for (Run run : running) {
      run.endMs = Http.nowMs();
      run.how = "gone";
    }
    running.clear();
    ends.clear();
    Log.line(id, "crashes");
    notifyAll();
  }

  /** Loses power: everything that runs is gone, channels and calls get no answer any more. */
  synchronized void losePower() {
    oldChannels.addAll(channels);
    dark = true;
    crash();
  }

  /** Starts again under the same id and address; the new boot may be of another kind. */
  synchronized void restart(List<String> newLabels) {
    labels = newLabels;
    boot();
    Log.line(id, "starts again, labels " + newLabels + ", and registers at once");
  }

  synchronized List<String> labels() {
    return labels;
  }

  synchronized int refusedStarts() {
    return refusedStarts;
  }

  synchronized long sinceBeatMs() {
    return Http.nowMs() - lastBeatMs;
  }

  synchronized long sinceAnswerMs() {
    return Http.nowMs() - lastAnswerMs;
  }

  synchronized List<Run> running() {
    return List.copyOf(running);
  }

  synchronized long leaseLeftMs() {
    return leaseUntilMs - clock();
  }

  private void beat() {
    ObjectNode entry =
        Http.object()
            .put("service", "svc")
            .put("address", http.address())
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", state)
            .put("cold-left-ms", 0);
    entry.putObject("capacity").put("cpu", cpu).put("mem-mb", 128_000).put("gpu", 0);
    ArrayNode texts = entry.putArray("labels");
    labels.forEach(texts::add);
    entry.put("server-time-ms", clock()).put("seq-no", ++nextBeatNumber).put("born", bornMs);
    store.beat(id, entry.toString());
    lastBeatMs = Http.nowMs();
  }

  private void tickForever() {
    while (true) {
      Http.sleep(5);
      synchronized (this) {
        if (!down) {
          tick();
        }
      }
    }
  }

  private void tick() {
    if (!cutFromStore && Http.nowMs() - lastBeatMs >= heartbeatMs) {
      beat();
    }
    if (leaseUntilMs != 0 && clock() > leaseUntilMs) {
      leaseUntilMs = 0;
      Log.line(id, "lease lapsed with " + running.size() + " runs");
      ends.forEach(end -> end.run().lapsedBeforeNoted |= end.run().notedMs == 0);
      new ArrayList<>(running).forEach(run -> end(run, "lapsed"));
    }
    for (Run run : new ArrayList<>(running)) {
      if (run.workMs > 0 && Http.nowMs() - run.startMs >= run.workMs) {
        end(run, "done");
      }
    }
  }

  private void end(Run run, String how) {
    if (!running.remove(run)) {
      return;
    }
    run.endMs = Http.nowMs();
    run.how = how;
    highestEnded.merge(run.task, run.number, Math::max);
    ends.add(new End(++lastEnd, run));
    notifyAll();
  }

  private Http.Reply handle(Http.Call call) throws Exception {
    synchronized (this) {
      if (cut) {
        while (cut) {
          wait();
        }
        return new Http.Reply(0, null);
      }
      if (dark) {
        // Bytes that arrive without power are lost; the caller learns nothing.
        oldChannels.add(call.channel());
        return neverAnswer();
      }
      if (down || oldChannels.contains(call.channel())) {
        return new Http.Reply(0, null);
      }
      channels.add(call.channel());
      long boot = bornMs;
      if (call.instance() != null && !call.instance().equals(id)) {
        return new Http.Reply(421, null);
      }
      Http.Reply reply = handleNow(call);
      if (dark || (boot != bornMs && oldChannels.contains(call.channel()))) {
        return neverAnswer();
      }
      if (cut || down || boot != bornMs) {
        return new Http.Reply(0, null);
      }
      lastAnswerMs = Http.nowMs();
      return reply;
    }
  }

  private Http.Reply neverAnswer() throws InterruptedException {
    long untilMs = Http.nowMs() + NEVER_MS;
    while (Http.nowMs() < untilMs) {
      wait(NEVER_MS);
    }
    return new Http.Reply(0, null);
  }

  private Http.Reply handleNow(Http.Call call) throws Exception {
    JsonNode body = call.json();
    if (unhealthy && call.path().equals("/-/run-start")) {
      refusedStarts++;
      Log.line(id, "503 for " + body.path("task-id").asText() + " run " + body.path("run-id").asLong());
      return new Http.Reply(503, null);
    }
    long token = body.path("fencing-token").asLong();
    if (token < highestToken) {
      return reject("fence");
    }
    highestToken = token;
    return switch (call.path()) {
      case "/-/run-start" -> start(body);
      case "/-/run-stop" -> stop(body);
      case "/-/hold" -> hold(body);
      case "/-/pace" -> ok();
      default -> new Http.Reply(404, null);
    };
  }

  private Http.Reply start(JsonNode body) {
    String task = body.path("task-id").asText();
    long number = body.path("run-id").asLong();
    for (Run run : running) {
      if (run.task.equals(task) && run.number == number) {
        return ok();
      }
    }
    extendLease(body);
    if (number <= highestEnded.getOrDefault(task, 0L)) {
      return reject("old");
    }
    if (body.path("deadline-ms").asLong() < clock()) {
      return reject("late");
    }
    Matcher work = WORK.matcher(body.path("spec").asText());
    Run run = new Run(task, number, this, work.find() ? Long.parseLong(work.group(1)) : 0);
    running.add(run);
    synchronized (ALL) {
      ALL.add(run);
    }
    Log.line(id, "starts " + task + " run " + number + ", token " + highestToken);
    return ok();
  }

  private Http.Reply stop(JsonNode body) {
    String task = body.path("task-id").asText();
    long number = body.path("run-id").asLong();
    highestEnded.merge(task, number, Math::max);
    for (Run run : new ArrayList<>(running)) {
      if (run.task.equals(task) && run.number <= number) {
        Log.line(id, "stop of " + task + " run " + run.number);
        Thread killer =
            new Thread(
                () -> {
                  Http.sleep(STOP_MS);
                  synchronized (this) {
                    end(run, "stopped");
                  }
                });
        killer.setDaemon(true);
        killer.start();
      }
    }
    return ok();
  }

  private Http.Reply hold(JsonNode body) throws InterruptedException {
    extendLease(body);
    long lastSeen = body.path("last-seen").asLong();
    for (End end : ends) {
      if (end.number() <= lastSeen && end.run().notedMs == 0 && !end.run().lapsedBeforeNoted) {
        end.run().notedMs = Http.nowMs();
      }
    }
    ends.removeIf(end -> end.number() <= lastSeen);
    long untilMs = Http.nowMs() + body.path("wait-ms").asLong();
    long boot = bornMs;
    while (ends.isEmpty() && Http.nowMs() < untilMs && !cut && !down && boot == bornMs) {
      wait(Math.max(1, untilMs - Http.nowMs()));
    }
    if (boot != bornMs) {
      return new Http.Reply(0, null);
    }
    ObjectNode reply = Http.object().put("server-time-ms", clock()).put("born", bornMs);
    ArrayNode rows = reply.putArray("running");
    for (Run run : running) {
      long percent = run.workMs == 0 ? 100 : Math.min(99, 100 * (Http.nowMs() - run.startMs) / run.workMs);
      rows.addArray().add(run.task).add(run.number).add("").add(percent).add(run.workMs == 0 ? 2 : 100);
    }
    ArrayNode finished = reply.putArray("finished");
    for (End end : ends.subList(0, Math.min(MAX_LISTED_ENDS, ends.size()))) {
      finished.addArray().add(end.number()).add(end.run().task).add(end.run().number).add(end.run().how).add("");
    }
    return new Http.Reply(200, reply);
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadline-ms")) {
      long until = Math.min(body.path("deadline-ms").asLong(), clock() + MAX_HOLD_MS);
      leaseUntilMs = Math.max(leaseUntilMs, until);
    }
  }

  private Http.Reply ok() {
    return new Http.Reply(200, Http.object().put("server-time-ms", clock()).put("born", bornMs));
  }

  private Http.Reply reject(String reason) {
    return new Http.Reply(409, Http.object().put("server-time-ms", clock()).put("born", bornMs).put("reason", reason));
  }
}
