package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Callers that submit wide jobs of several phases and cancel most of them. They repeat a
 * cancellation until it is acknowledged, and do not submit a job again that they cancelled.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the responses are recorded in the job
final class CancellingCallers {
  private static final int MAX_PHASES = 3;
  private static final Range WIDTH = new Range(4, 14);
  private static final Range CPU_MILLIS = new Range(500, 2_000);
  private static final Range TASK_MS = new Range(300, 1_500);
  private static final Range LONG_TASK_MS = new Range(5_000, 10_000);

  /** One in this many jobs has long tasks. */
  private static final int LONG_TASK_RATIO = 8;

  /** One in this many steps submits nothing. */
  private static final int IDLE_RATIO = 3;

  private static final Range SOON_MS = new Range(0, 300);
  private static final Range LATER_MS = new Range(300, 7_000);

  private final SoakCallers callers;
  private final Random random;
  private final List<Plan> plans = new ArrayList<>();

  /** When a caller cancels its job. */
  private enum Habit {
    /** Gives up soon after the submission, whether there was a response or not. */
    GIVE_UP {
      @Override
      boolean isDue(Plan plan, long nowMs) {
        return nowMs >= plan.soonMs;
      }
    },
    /** Cancels once the submission got no clear answer, and otherwise lets the job run. */
    WITHOUT_ANSWER {
      @Override
      boolean isDue(Plan plan, long nowMs) {
        return plan.job.outcomeUnknown && !plan.job.accepted;
      }
    },
    /** Cancels a job some time after its submission, while tasks run and others wait. */
    LATER {
      @Override
      boolean isDue(Plan plan, long nowMs) {
        return nowMs >= plan.laterMs && !plan.job.inFlight;
      }
    },
    /** As {@link #LATER}, at all nodes at once. */
    EVERYWHERE {
      @Override
      boolean isDue(Plan plan, long nowMs) {
        return LATER.isDue(plan, nowMs);
      }

      @Override
      CompletableFuture<Boolean> cancel(SoakCallers callers, SoakJob job) {
        callers.cancelEverywhere(job);
        return super.cancel(callers, job);
      }
    };

    abstract boolean isDue(Plan plan, long nowMs);

    CompletableFuture<Boolean> cancel(SoakCallers callers, SoakJob job) {
      return callers.cancel(job);
    }
  }

  /** A submitted job, and the last attempt to cancel it. */
  private static final class Plan {
    private final SoakJob job;
    private final Habit habit;
    private final long soonMs;
    private final long laterMs;
    private CompletableFuture<Boolean> attempt = CompletableFuture.completedFuture(false);

    Plan(SoakJob job, Habit habit, Random random) {
      this.job = job;
      this.habit = habit;
      this.soonMs = SoakRun.nowMs() + SOON_MS.draw(random);
      this.laterMs = SoakRun.nowMs() + LATER_MS.draw(random);
    }

    boolean isOver() {
      return job.cancelAcknowledgement().isPresent() || job.rejected;
    }

    void cancelIfDue(SoakCallers callers) {
      if (attempt.isDone() && (job.cancelRequested || habit.isDue(this, SoakRun.nowMs()))) {
        attempt = habit.cancel(callers, job);
      }
    }
  }

  CancellingCallers(SoakCallers callers, Random random) {
    this.callers = callers;
    this.random = random;
  }

  /** Submits a job at times, and cancels those that are due. */
  void step() {
    if (random.nextInt(IDLE_RATIO) > 0) {
      SoakJob job = newJob();
      callers.submitNew(job);
      plans.add(new Plan(job, drawHabit(), random));
    }
    plans.removeIf(Plan::isOver);
    plans.forEach(plan -> plan.cancelIfDue(callers));
  }

  private Habit drawHabit() {
    return Habit.values()[random.nextInt(Habit.values().length)];
  }

  private SoakJob newJob() {
    return new SoakJob(
        callers.drawId(),
        1 + random.nextInt(MAX_PHASES),
        WIDTH.draw(random),
        CPU_MILLIS.draw(random),
        false,
        random.nextInt(LONG_TASK_RATIO) == 0 ? LONG_TASK_MS.draw(random) : TASK_MS.draw(random));
  }
}
