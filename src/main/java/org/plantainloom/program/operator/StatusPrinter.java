package org.plantainloom.program.operator;

import java.io.PrintStream;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.coordination.plan.PlannerSnapshot.JobSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.ServiceSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.WorkerSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.ZoneSummary;
import org.plantainloom.state.ResourceVector;

/** Prints the status for people. */
final class StatusPrinter {
  private StatusPrinter() {}

  static void print(PrintStream out, PlannerSnapshot status) {
    out.printf("configuration revision %d%n%n", status.revision());
    out.printf("%-30s %8s %8s%n", "SERVICE", "WANTED", "RUNNING");
    for (ServiceSummary service : status.services()) {
      String name = service.team() + "/" + service.service();
      out.printf("%-30s %8d %8d%n", name, service.wanted(), service.running());
    }
    out.printf(
        "%n%-30s %8s %8s %8s %8s %9s %9s%n",
        "JOB", "TASKS", "FINISHED", "RUNNING", "PENDING", "SET-ASIDE", "CANCELLED");
    for (JobSummary job : status.jobs()) {
      out.printf(
          "%-30s %8d %8d %8d %8d %9d %9d%n",
          job.team() + "/" + job.job(),
          job.tasks(),
          job.finished(),
          job.running(),
          job.pending(),
          job.setAside(),
          job.cancelled());
    }
    out.printf("%n%-30s %8s %8s%n", "ZONE", "STATE", "TASKS");
    for (ZoneSummary zone : status.zones()) {
      out.printf("%-30s %8s %8d%n", zone.zone(), zone.out() ? "out" : "in", zone.tasks());
    }
    printWorkers(out, status);
  }

  private static void printWorkers(PrintStream out, PlannerSnapshot status) {
    out.printf(
        "%n%-26s %-18s %14s %16s %6s %s%n",
        "WORKER", "RACK", "CORES", "MEMORY-GB", "TASKS", "STATE");
    for (WorkerSummary worker : status.workers()) {
      ResourceVector committed = worker.committed();
      ResourceVector capacity = worker.capacity();
      out.printf(
          "%-26s %-18s %6.1f of %4.0f %7.1f of %5.0f %6d %s%n",
          worker.worker(),
          worker.rack(),
          committed.cpuMillis() / 1000.0,
          capacity.cpuMillis() / 1000.0,
          committed.memoryMb() / 1024.0,
          capacity.memoryMb() / 1024.0,
          worker.tasks(),
          worker.reachable() ? "ok" : "unreachable");
    }
  }
}
