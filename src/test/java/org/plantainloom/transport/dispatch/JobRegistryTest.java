package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.coordination.dispatch.JobBudget;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.support.UnsupportedStore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers are told about jobs while other writes to the store are on their way. */
public class JobRegistryTest {
  private static final String ID = "00000000000000aa";
  private static final JobSpec JOB =
      new JobSpec(
          ID,
          "queue",
          "text",
          List.of(
              new PhaseSpec(
                  1,
                  new ResourceVector(500, 64, 0),
                  500,
                  List.of(),
                  false,
                  false,
                  false,
                  "",
                  "",
                  0,
                  false,
                  false,
                  "",
                  0,
                  false,
                  -1)),
          0,
          0,
          0,
          0);

  /** A cancelling while the submission is carried out late, or not at all. */
  public static class SubmissionOnItsWay {
    private LateStore store;
    private JobRegistry jobs;

    /** Starts with an empty store. */
    @BeforeMethod
    public void start() {
      store = new LateStore();
      jobs = new JobRegistry(store, new MetricRegistry(), new Admission());
    }

    /** Returns another node, which does not wait for a reply from the store. */
    private JobRegistry otherNode() {
      return new JobRegistry(store, new MetricRegistry(), new Admission());
    }

    /** Regression (UNASKED): the job ran seconds after its cancelling was answered with 410. */
    @Test
    public void should_not_store_a_job_after_the_reply_that_there_is_no_such_job() {
      // given
      store.delayNext();
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.UNKNOWN);
      // when
      assertThat(otherNode().cancel(ID).join()).isEqualTo(JobReply.NO_SUCH_JOB);
      store.carryOutDelayed();
      // then
      assertThat(store.items).doesNotContainKey(StoreKeys.job(ID));
    }

    @Test
    public void should_tell_a_repeated_submission_that_the_job_never_runs() {
      // given
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.NO_SUCH_JOB);
      // then
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.NO_SUCH_JOB);
      assertThat(jobs.status(ID).join()).isEqualTo(JobReply.NO_SUCH_JOB);
    }

    @Test
    public void should_tell_a_submission_without_reply_that_the_job_never_runs() {
      // given
      jobs.cancel(ID).join();
      store.delayNext();
      // then
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.NO_SUCH_JOB);
    }

    @Test
    public void should_write_nothing_for_a_repeated_cancelling() {
      // given
      jobs.cancel(ID).join();
      long revision = store.revision;
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.NO_SUCH_JOB);
      assertThat(store.revision).isEqualTo(revision);
    }

    @Test
    public void should_cancel_a_job_that_is_stored_between_the_read_and_the_write() {
      // given
      store.beforeNextCommit(() -> store.put(StoreKeys.job(ID), "job"));
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.DONE);
      assertThat(store.items).containsKeys(StoreKeys.job(ID), StoreKeys.cancel(ID));
    }

    @Test
    public void should_not_know_the_outcome_when_the_write_of_the_cancelling_gets_no_reply() {
      // given
      store.delayNext();
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.UNKNOWN);
    }

    @Test
    public void should_accept_a_job_whose_cancelling_comes_too_late() {
      // given
      store.delayNext();
      jobs.cancel(ID).join();
      // when
      assertThat(otherNode().submit(JOB).join()).isEqualTo(JobReply.DONE);
      store.carryOutDelayed();
      // then: its caller was told that the outcome of the cancelling is not known
      assertThat(store.items).doesNotContainKey(StoreKeys.cancel(ID));
    }
  }

  /** A cancelling of a job that is stored. */
  public static class StoredJobs {
    private LateStore store;
    private JobRegistry jobs;

    /** Starts with an empty store. */
    @BeforeMethod
    public void start() {
      store = new LateStore();
      jobs = new JobRegistry(store, new MetricRegistry(), new Admission());
    }

    @Test
    public void should_cancel_a_job_that_was_written_again_in_the_meantime() {
      // given
      jobs.submit(JOB).join();
      store.beforeNextCommit(() -> store.put(StoreKeys.job(ID), "changed"));
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.DONE);
      assertThat(store.items).containsKey(StoreKeys.cancel(ID));
    }

    @Test
    public void should_not_know_a_job_that_was_removed_in_the_meantime() {
      // given
      jobs.submit(JOB).join();
      store.beforeNextCommit(() -> store.items.remove(StoreKeys.job(ID)));
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.NO_SUCH_JOB);
    }

    @Test
    public void should_acknowledge_a_repeated_cancelling_and_a_repeated_submission() {
      // given
      jobs.submit(JOB).join();
      // then
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.DONE);
      assertThat(jobs.cancel(ID).join()).isEqualTo(JobReply.DONE);
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.DONE);
    }
  }

  /** A store that checks the required revisions, and carries out some transactions late. */
  private static final class LateStore extends UnsupportedStore {
    final TreeMap<String, StoreItem> items = new TreeMap<>();
    long revision = 1;
    private final List<Transaction> delayed = new ArrayList<>();
    private final Queue<Runnable> beforeCommits = new ArrayDeque<>();
    private boolean delaying;
    private boolean unavailable;

    void delayNext() {
      delaying = true;
    }

    void carryOutDelayed() {
      delayed.forEach(this::carryOut);
      delayed.clear();
    }

    void beforeNextCommit(Runnable action) {
      beforeCommits.add(action);
    }

    void put(String key, String value) {
      items.put(key, new StoreItem(key, value, ++revision));
    }

    private CommitReply carryOut(Transaction transaction) {
      boolean holds =
          transaction.expected().entrySet().stream()
              .allMatch(
                  entry ->
                      entry.getValue()
                          == (items.containsKey(entry.getKey())
                              ? items.get(entry.getKey()).revision()
                              : 0));
      if (!holds) {
        return new CommitReply.Conflict(
            transaction.expected().keySet().stream()
                .filter(items::containsKey)
                .map(items::get)
                .toList());
      }
      transaction.writes().forEach(this::put);
      transaction.removals().forEach(items::remove);
      return new CommitReply.Committed(revision);
    }

    @Override
    public CompletableFuture<CommitReply> commit(Transaction transaction) {
      if (!beforeCommits.isEmpty()) {
        beforeCommits.poll().run();
      }
      if (delaying) {
        delaying = false;
        delayed.add(transaction);
        return CompletableFuture.completedFuture(new CommitReply.Unknown("no reply"));
      }
      return CompletableFuture.completedFuture(carryOut(transaction));
    }

    @Override
    public CompletableFuture<ReadReply> read(String key) {
      return CompletableFuture.completedFuture(
          new ReadReply.Found(
              items.containsKey(key) ? List.of(items.get(key)) : List.of(), revision));
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      if (unavailable) {
        return CompletableFuture.completedFuture(new ReadReply.Unavailable("expected by the test"));
      }
      return CompletableFuture.completedFuture(
          new ReadReply.Found(
              items.values().stream().filter(item -> item.key().startsWith(prefix)).toList(),
              revision));
    }
  }

  /** Submissions while the owner has no room for more jobs. */
  public static class UsedUpBudget {
    private LateStore store;
    private Admission admission;
    private JobRegistry jobs;

    /** Starts with an empty store. */
    @BeforeMethod
    public void start() {
      store = new LateStore();
      admission = new Admission();
      jobs = new JobRegistry(store, new MetricRegistry(), admission);
    }

    /** Regression (LOST): jobs were accepted until the owner's heap was full. */
    @Test
    public void should_refuse_a_job_at_once_that_the_owner_cannot_keep() {
      // given
      admission.update(0);
      // then
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.OVERLOADED);
      assertThat(store.items).isEmpty();
    }

    @Test
    public void should_accept_a_job_again_that_was_accepted_before() {
      // given
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.DONE);
      admission.update(0);
      // then
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.DONE);
    }

    @Test
    public void should_not_say_that_a_job_never_runs_while_the_store_does_not_tell() {
      // given
      admission.update(0);
      store.unavailable = true;
      // then
      assertThat(jobs.submit(JOB).join()).isEqualTo(JobReply.UNKNOWN);
    }

    @Test
    public void should_refuse_what_exceeds_the_rest_of_the_budget() {
      // given: room for one job
      admission.update(JobBudget.bytesNeeded(JOB));
      // then
      assertThat(admission.admits(JOB)).isTrue();
      admission.accepted(JOB);
      assertThat(admission.admits(JOB)).isFalse();
      admission.update(JobBudget.bytesNeeded(JOB));
      assertThat(admission.admits(JOB)).isTrue();
    }
  }
}
