package org.plantainloom.program.operator;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.coordination.timeline.TimelinePage;
import org.plantainloom.program.ExitCode;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.MemberList;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.TimelineEvent;

/** Merges the time lines of all live processes in causal order. */
final class TimelineMerge {
  private static final long FOLLOW_MS = 1_000;
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

  private final OperatorSession session;
  private final Map<String, Long> nextByAddress = new HashMap<>();
  private final Set<String> kinds;
  private final String subject;

  TimelineMerge(OperatorSession session) {
    this.session = session;
    this.subject = session.option("subject").orElse("");
    this.kinds = session.option("events").map(k -> Set.of(k.split(","))).orElse(Set.of());
  }

  ExitCode run() throws RequestFailedException, InterruptedException {
    do {
      printNew();
      if (session.has("follow")) {
        Thread.sleep(FOLLOW_MS);
      }
    } while (session.has("follow"));
    return ExitCode.OK;
  }

  private void printNew() throws RequestFailedException {
    MemberList members = Json.read(session.get("/v1/members").body(), MemberList.class);
    List<TimelineEvent> events = new ArrayList<>();
    for (MemberRecord member : members.members()) {
      long from = nextByAddress.getOrDefault(member.address(), 0L);
      Optional<TimelinePage> page = session.timeline(member.address(), from);
      if (page.isEmpty()) {
        System.err.println(member.id() + " did not answer");
        continue;
      }
      if (page.get().lost() > 0) {
        System.err.println(member.id() + ": " + page.get().lost() + " older events were lost");
      }
      nextByAddress.put(member.address(), page.get().next());
      events.addAll(page.get().events());
    }
    events.sort(Comparator.comparing(TimelineEvent::at).thenComparing(TimelineEvent::process));
    events.stream().filter(this::isWanted).forEach(this::print);
  }

  private boolean isWanted(TimelineEvent event) {
    boolean kindWanted = kinds.isEmpty() || kinds.contains(event.kind().name());
    return kindWanted && event.subject().contains(subject);
  }

  private void print(TimelineEvent event) {
    if (session.isJson()) {
      System.out.println(Json.write(event));
      return;
    }
    System.out.printf(
        "%s+%d %-14s %-18s %-34s %s%n",
        TIME.format(Instant.ofEpochMilli(event.at().wallMs())),
        event.at().counter(),
        event.process(),
        event.kind(),
        event.subject(),
        event.detail());
  }
}
