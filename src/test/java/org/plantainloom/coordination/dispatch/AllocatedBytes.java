package org.plantainloom.coordination.dispatch;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** Measures how much memory this thread allocates, which does not depend on the machine's load. */
final class AllocatedBytes {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private AllocatedBytes() {}

  /** Returns how many bytes an action allocates, after a first run that loads the classes. */
  static long of(Runnable action) {
    action.run();
    long before = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
    action.run();
    return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
  }
}
