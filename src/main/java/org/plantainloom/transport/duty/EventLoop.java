package org.plantainloom.transport.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Single-threaded event loop: runs the tasks that other threads submit through a bounded ring
 * buffer, one at a time, and a tick at a fixed interval.
 *
 * <p>A state machine that is only accessed on its event loop needs no locks:
 *
 * <pre>{@code
 * EventLoop loop = EventLoop.start("racks", 100, machine::tick);
 * store.read(key).thenAcceptAsync(machine::recordRead, loop);
 * }</pre>
 */
public final class EventLoop implements Executor, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class);
  private static final int RING_SIZE = 4096;
  private static final long CLOSE_TIMEOUT_MS = 2_000;

  /** A longer task is logged, as all others wait for it. */
  private static final long LONG_TASK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final String name;
  private final long tickMs;
  private final Runnable tick;
  private final LongSupplier clockNanos;
  private final Optional<Consumer<OutOfMemoryError>> outOfMemoryHandler;
  private final Disruptor<Slot> disruptor;
  private final Queue<Runnable> localTasks = new ArrayDeque<>();
  private volatile Thread thread;
  private long lastTickNanos;

  /** Written on the loop's thread only. */
  private volatile long busyNanos;

  private volatile long longestTaskNanos;
  private volatile long tickCount;

  private static final class Slot {
    private Runnable task;
  }

  private EventLoop(
      String name,
      long tickMs,
      Runnable tick,
      LongSupplier clockNanos,
      Optional<Consumer<OutOfMemoryError>> outOfMemoryHandler) {
    this.outOfMemoryHandler = outOfMemoryHandler;
    this.clockNanos = clockNanos;
    this.lastTickNanos = clockNanos.getAsLong();
    this.name = name;
    this.tickMs = tickMs;
    this.tick = tick;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            RING_SIZE,
            this::newThread,
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(tickMs, TimeUnit.MILLISECONDS));
  }

  /**
   * Starts an event loop.
   *
   * @param name name of the thread
   * @param tickMs interval of the ticks in milliseconds
   * @param tick run on the loop's thread at each interval
   */
  public static EventLoop start(String name, long tickMs, Runnable tick) {
    return start(name, tickMs, tick, System::nanoTime, Optional.empty());
  }

  /**
   * Starts an event loop whose state may be incomplete once the heap has been full.
   *
   * @param outOfMemoryHandler runs on the loop's thread, in place of the rest of a task that found
   *     no memory; has to expect that it finds none either
   */
  public static EventLoop start(
      String name, long tickMs, Runnable tick, Consumer<OutOfMemoryError> outOfMemoryHandler) {
    return start(name, tickMs, tick, System::nanoTime, Optional.of(outOfMemoryHandler));
  }

  /** Starts an event loop with another clock than the system's. */
  static EventLoop start(String name, long tickMs, Runnable tick, LongSupplier clockNanos) {
    return start(name, tickMs, tick, clockNanos, Optional.empty());
  }

  private static EventLoop start(
      String name,
      long tickMs,
      Runnable tick,
      LongSupplier clockNanos,
      Optional<Consumer<OutOfMemoryError>> outOfMemoryHandler) {
    EventLoop loop = new EventLoop(name, tickMs, tick, clockNanos, outOfMemoryHandler);
    loop.disruptor.handleEventsWith(loop.new Handler());
    loop.disruptor.start();
    return loop;
  }

  private Thread newThread(Runnable target) {
    Thread created = new Thread(target, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  /**
   * Submits a task; blocks while the ring buffer is full. A task submitted from the loop's own
   * thread runs after the tasks that were waiting in the ring buffer.
   */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      // Only this thread frees slots of the ring buffer: waiting for one here would deadlock.
      localTasks.add(task);
    } else {
      disruptor.publishEvent((slot, sequence) -> slot.task = task);
    }
  }

  /**
   * Passes the result of an asynchronous call to a consumer once it is available.
   *
   * @param call the call; calls of the ports complete normally and report failures in their results
   * @param consumer runs on the loop's thread
   */
  @SuppressWarnings("FutureReturnValueIgnored") // failures of the consumer are logged by run
  public <T> void onResult(CompletableFuture<T> call, Consumer<T> consumer) {
    call.whenComplete(
        (value, failure) -> {
          if (failure != null) {
            LOG.errorf(failure, "event loop %s: an asynchronous call failed", name);
          } else {
            execute(() -> consumer.accept(value));
          }
        });
  }

  /**
   * Runs a task. A failed task must not end the thread: the process would go on without its state
   * machine, and its leases would be renewed by nobody.
   */
  private void run(Runnable task) {
    long startedNanos = clockNanos.getAsLong();
    try {
      task.run();
    } catch (OutOfMemoryError e) {
      handleOutOfMemory(e);
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "event loop %s: a task failed, the loop goes on", name);
    }
    recordTask(clockNanos.getAsLong() - startedNanos);
  }

  private void handleOutOfMemory(OutOfMemoryError error) {
    if (outOfMemoryHandler.isPresent()) {
      outOfMemoryHandler.get().accept(error);
    } else {
      LOG.errorf(error, "event loop %s: a task found no memory, the loop goes on", name);
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // one thread writes
  private void recordTask(long nanos) {
    busyNanos += nanos;
    longestTaskNanos = Math.max(longestTaskNanos, nanos);
    if (nanos >= LONG_TASK_NANOS) {
      LOG.warnf("event=loop-busy id=%s busyMs=%d", name, TimeUnit.NANOSECONDS.toMillis(nanos));
    }
  }

  /** Returns for how many milliseconds the loop has run tasks since its start. */
  public long busyMs() {
    return TimeUnit.NANOSECONDS.toMillis(busyNanos);
  }

  /** Returns how many milliseconds the longest task has taken. */
  public long longestTaskMs() {
    return TimeUnit.NANOSECONDS.toMillis(longestTaskNanos);
  }

  private void runLocalTasks() {
    for (Runnable task = localTasks.poll(); task != null; task = localTasks.poll()) {
      run(task);
    }
  }

  /** Returns a number that changes with each tick. */
  public long tickCount() {
    return tickCount;
  }

  private void tickIfDue() {
    long nanos = clockNanos.getAsLong();
    if (nanos - lastTickNanos >= TimeUnit.MILLISECONDS.toNanos(tickMs)) {
      lastTickNanos = nanos;
      countTick();
      run(tick);
      runLocalTasks();
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // one thread writes
  private void countTick() {
    tickCount++;
  }

  private final class Handler implements EventHandler<Slot> {
    @Override
    public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
      // After a pause of the process, the tick notices it before any task acts on what has expired.
      tickIfDue();
      Runnable task = slot.task;
      slot.task = null;
      run(task);
      if (endOfBatch) {
        runLocalTasks();
      }
      tickIfDue();
    }

    @Override
    public void onTimeout(long sequence) {
      tickIfDue();
    }
  }

  /** Stops the thread after the submitted tasks, or after a timeout if they take too long. */
  @Override
  public void close() {
    try {
      disruptor.shutdown(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.warnf("event loop %s: still busy after the timeout, stopped anyway", name);
      disruptor.halt();
    }
  }
}
