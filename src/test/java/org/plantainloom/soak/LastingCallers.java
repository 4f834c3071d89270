package org.plantainloom.soak;

import java.util.Random;

/** Callers that submit some jobs whose tasks last, and short jobs in a stream beside them. */
@SuppressWarnings("FutureReturnValueIgnored") // the responses are recorded in the job
final class LastingCallers {
  private static final int LASTING_JOBS = 5;
  private static final int LASTING_WIDTH = 3;
  private static final Range LASTING_CPU_MILLIS = new Range(500, 1_500);

  private static final Range SHORT_WIDTH = new Range(2, 8);
  private static final Range SHORT_CPU_MILLIS = new Range(400, 1_200);
  private static final Range SHORT_TASK_MS = new Range(300, 1_200);

  /** One in this many steps submits a short job. */
  private static final int SUBMIT_RATIO = 5;

  /** One in this many steps repeats a submission without a response. */
  private static final int REPEAT_RATIO = 4;

  private final SoakCallers callers;
  private final Random random;
  private int lastingJobs;

  LastingCallers(SoakCallers callers, Random random) {
    this.callers = callers;
    this.random = random;
  }

  void step() {
    if (lastingJobs < LASTING_JOBS) {
      lastingJobs++;
      callers.submitNew(
          new SoakJob(
              callers.drawId(), 1, LASTING_WIDTH, LASTING_CPU_MILLIS.draw(random), true, 0));
    } else if (random.nextInt(SUBMIT_RATIO) == 0) {
      callers.submitNew(
          new SoakJob(
              callers.drawId(),
              1 + random.nextInt(2),
              SHORT_WIDTH.draw(random),
              SHORT_CPU_MILLIS.draw(random),
              false,
              SHORT_TASK_MS.draw(random)));
    }
    if (random.nextInt(REPEAT_RATIO) == 0) {
      callers.repeatUnanswered();
    }
  }
}
