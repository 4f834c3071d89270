package org.plantainloom.program.slopes;

import java.io.PrintStream;
import java.util.Optional;
import org.plantainloom.coordination.plan.Route;
import org.plantainloom.coordination.rack.Binding;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.RunState;
import org.plantainloom.state.StartCommand;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.state.ZoneName;

/** Prints the size of each record's JSON, from which documents and messages are made up. */
final class UnitSizes {
  private static final TaskId TASK = new TaskId(new TeamId("team-042"), "calendar-rebuild", 17);
  private static final TaskRef REF = new TaskRef(TASK, 3);
  private static final WorkerId WORKER = new WorkerId("nantou-lugu-w123");
  private static final RackId RACK = new RackId("nantou-lugu-r15");
  private static final ZoneName ZONE = new ZoneName("nantou-lugu");
  private static final TaskLaunch LAUNCH =
      new TaskLaunch(WorkloadKind.BATCH, new ResourceVector(4_000, 8_192, 0), 360_000, 50);

  private UnitSizes() {}

  static void print(PrintStream out) {
    long nowMs = System.currentTimeMillis();
    Commitment commitment = new Commitment(REF, WORKER, 1, LAUNCH, 123_456);
    TaskRecord task = TaskRecord.pending(TASK, nowMs).boundTo(RACK, WORKER);
    out.printf("%n%-40s %10s%n", "RECORD", "BYTES");
    line(out, "task in a team's document", task);
    line(out, "job in a team's document", new BatchJobProgress("calendar-rebuild", 5, 2, 0, false));
    line(out, "commitment in a rack's record", commitment);
    line(
        out,
        "release in a rack's record",
        new Release(REF, WORKER, ReleaseOutcome.FINISHED, 123_456));
    line(
        out,
        "commitment told to the planner",
        new CommitmentStatus(commitment, Optional.of(RunState.RUNNING)));
    line(out, "binding told to an owner", new Binding(REF, WORKER, LAUNCH, 123_456));
    line(out, "renewal told to a worker", REF);
    line(out, "start told to a worker", new StartCommand(REF, nowMs, LAUNCH, 123_456));
    line(out, "task reported by a worker", new TaskReport(REF, RunState.RUNNING, 123_456, 3_900));
    line(
        out,
        "route told to a gateway",
        new Route("team-042/listing-desk", REF, WORKER, "10.10.10.10:8080", ZONE, "nantou", 8));
    line(
        out,
        "member in the list",
        new MemberRecord(
            new MemberId("scheduler-12-" + nowMs),
            MemberRole.SCHEDULER,
            "10.10.10.10:8080",
            ZONE,
            false));
  }

  private static void line(PrintStream out, String name, Object value) {
    out.printf("%-40s %10d%n", name, Json.write(value).length());
  }
}
