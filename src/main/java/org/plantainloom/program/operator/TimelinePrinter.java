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

/** Prints the timelines of all live processes, merged in causal order. */
final class TimelinePrinter {
  private static final long FOLLOW_INTERVAL_MS = 1_000;
  private static final DateTimeFormatter TIME_FORMAT =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

  private final OperatorSession session;
  private final Map<String, Long> nextPositionByAddress = new HashMap<>();
  private final Set<String> kinds;
  private final String subject;

  TimelinePrinter(OperatorSession session) {
    this.session = session;
    this.subject = session.option("subject").orElse("");
    this.kinds = session.option("events").map(k -> Set.of(k.split(","))).orElse(Set.of());
  }

  ExitCode run() throws RequestFailedException, InterruptedException {
    do {
      printNew();
      if (session.hasOption("follow")) {
        Thread.sleep(FOLLOW_INTERVAL_MS);
      }
    } while (session.hasOption("follow"));
    return ExitCode.OK;
  }

  private void printNew() throws RequestFailedException {
    MemberList members = Json.read(session.get("/v1/members").body(), MemberList.class);
    List<TimelineEvent> events = new ArrayList<>();
    for (MemberRecord member : members.members()) {
      long from = nextPositionByAddress.getOrDefault(member.address(), 0L);
      Optional<TimelinePage> page = session.timelinePage(member.address(), from);
      if (page.isEmpty()) {
        System.err.println(member.id() + " did not answer");
        continue;
      }
      if (page.get().lost() > 0) {
        System.err.println(member.id() + ": " + page.get().lost() + " older events were lost");
      }
      nextPositionByAddress.put(member.address(), page.get().next());
      events.addAll(page.get().events());
    }
    events.sort(Comparator.comparing(TimelineEvent::at).thenComparing(TimelineEvent::process));
    events.stream().filter(this::matchesFilters).forEach(this::print);
  }

  private boolean matchesFilters(TimelineEvent event) {
    boolean kindMatches = kinds.isEmpty() || kinds.contains(event.kind().name());
    return kindMatches && event.subject().contains(subject);
  }

  private void print(TimelineEvent event) {
    if (session.isJson()) {
      System.out.println(Json.write(event));
      return;
    }
    System.out.printf(
        "%s+%d %-14s %-18s %-34s %s%n",
        TIME_FORMAT.format(Instant.ofEpochMilli(event.at().wallMs())),
        event.at().counter(),
        event.process(),
        event.kind(),
        event.subject(),
        event.detail());
  }
}
