package org.plantainloom.transport.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * A thread with one duty: it runs what others hand it through a bounded ring, one at a time, and
 * ticks at a steady pace.
 *
 * <p>A state machine that is only touched on its duty needs no locks:
 *
 * <pre>{@code
 * Duty duty = Duty.start("racks", 100, machine::tick);
 * store.read(key).thenAcceptAsync(machine::recordRead, duty);
 * }</pre>
 */
public final class EventLoop implements Executor, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class);
  private static final int RING_SIZE = 4096;
  private static final long CLOSE_TIMEOUT_MS = 2_000;

  private final String name;
  private final long tickMs;
  private final Runnable tick;
  private final Disruptor<Slot> disruptor;
  private final Queue<Runnable> ownTasks = new ArrayDeque<>();
  private volatile Thread thread;
  private long lastTickNanos = System.nanoTime();

  private static final class Slot {
    private Runnable task;
  }

  private EventLoop(String name, long tickMs, Runnable tick) {
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
   * Starts a duty.
   *
   * @param name the thread's name
   * @param tickMs pace of the ticks in milliseconds
   * @param tick runs on the duty's thread
   */
  public static EventLoop start(String name, long tickMs, Runnable tick) {
    EventLoop duty = new EventLoop(name, tickMs, tick);
    duty.disruptor.handleEventsWith(duty.new Handler());
    duty.disruptor.start();
    return duty;
  }

  private Thread newThread(Runnable body) {
    Thread created = new Thread(body, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  /**
   * Hands the duty a task; waits while the ring is full. A task that the duty hands itself runs
   * after all that waited in the ring.
   */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      // The duty must not wait for room that only it can make.
      ownTasks.add(task);
    } else {
      disruptor.publishEvent((slot, sequence) -> slot.task = task);
    }
  }

  /**
   * Hands the duty the result of a call once it is there.
   *
   * @param call the call; the ports' calls never fail but tell of failures in their results
   * @param consumer runs on the duty's thread
   */
  @SuppressWarnings("FutureReturnValueIgnored") // failures of the consumer are logged by run
  public <T> void onResult(CompletableFuture<T> call, Consumer<T> consumer) {
    call.whenComplete(
        (value, failure) -> {
          if (failure != null) {
            LOG.errorf(failure, "duty %s: a call failed", name);
          } else {
            execute(() -> consumer.accept(value));
          }
        });
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.errorf(e, "duty %s: a task failed", name);
    }
  }

  private void runOwnTasks() {
    for (Runnable own = ownTasks.poll(); own != null; own = ownTasks.poll()) {
      run(own);
    }
  }

  private void tickIfDue() {
    long nanos = System.nanoTime();
    if (nanos - lastTickNanos >= TimeUnit.MILLISECONDS.toNanos(tickMs)) {
      lastTickNanos = nanos;
      run(tick);
      runOwnTasks();
    }
  }

  private final class Handler implements EventHandler<Slot> {
    @Override
    public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
      Runnable task = slot.task;
      slot.task = null;
      run(task);
      if (endOfBatch) {
        runOwnTasks();
      }
      tickIfDue();
    }

    @Override
    public void onTimeout(long sequence) {
      tickIfDue();
    }
  }

  /** Stops the thread after the tasks already handed over. */
  @Override
  public void close() {
    try {
      disruptor.shutdown(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.warnf("duty %s: still busy, stopped anyway", name);
      disruptor.halt();
    }
  }
}
