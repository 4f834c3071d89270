package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainloom.coordination.dispatch.LastConfirmation;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.coordination.dispatch.WorkerClockReading;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.store.StoreItem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a new owner concludes of the clocks of those before it. */
public class OwnershipTest {
  private static final long TERM = 7;
  private static final long WALL_MS = 1_700_000_000_000L;
  private static final long RECEIVED_MS = 50_000;
  private static final long REVISION = 90;

  private static OwnerTime time(long term) {
    return new OwnerTime(term, 1_000, WALL_MS);
  }

  private static Optional<StoredConfirmation> lastConfirmation(String text) {
    StoreItem item = new StoreItem(StoreKeys.CONFIRMED, text, REVISION);
    return new Predecessors(Optional.empty(), Optional.empty(), Optional.of(item))
        .lastConfirmation(TERM);
  }

  private static StoredConfirmation confirmation(long term) {
    return StoredConfirmation.of(time(term), List.of(), 1_000);
  }

  private static StoredConfirmation clockOf(String workerId, long startedAtMs) {
    return StoredConfirmation.of(
        time(TERM - 1), List.of(new WorkerClockReading(workerId, startedAtMs, 1)), 1_000);
  }

  private static Ownership after(Optional<StoredConfirmation> lastConfirmation) {
    OwnerClocks clocks = new OwnerClocks();
    for (long term = TERM - 4; term < TERM; term++) {
      clocks.sampled(time(term), RECEIVED_MS);
    }
    return new Ownership(
        new OwnerRecord("a", "127.0.0.1:1", TERM),
        1,
        REVISION + 1,
        Optional.of(List.of()),
        new OwnershipLease(),
        lastConfirmation.map(
            last -> new LastConfirmation(last.time(), last.workerClocks(), clocks)),
        clocks);
  }

  @Test
  public void should_count_from_the_last_confirmation_of_the_owner_before() {
    Ownership ownership = after(lastConfirmation(Json.write(confirmation(TERM - 1))));
    assertThat(ownership.lastConfirmation().orElseThrow().time()).isEqualTo(time(TERM - 1));
    assertThat(ownership.latestMs(time(TERM - 1))).hasValue(RECEIVED_MS);
  }

  /** An owner of an older release stores no clocks of workers, and counts its claim as well. */
  @Test
  public void should_count_from_the_last_confirmation_of_an_older_release() {
    StoredConfirmation last = lastConfirmation(Json.write(time(TERM - 1))).orElseThrow();
    assertThat(last.time()).isEqualTo(time(TERM - 1));
    assertThat(last.workerClocks()).isEmpty();
  }

  /** Regression (LOST): an owner that was lost right after its claim restarted the wait. */
  @Test
  public void should_count_from_the_owner_before_one_that_was_lost_after_its_claim() {
    StoredConfirmation claimed = confirmation(TERM - 3).claimedBy(TERM - 2).claimedBy(TERM - 1);
    Ownership ownership = after(lastConfirmation(Json.write(claimed)));
    assertThat(ownership.lastConfirmation().orElseThrow().time()).isEqualTo(time(TERM - 3));
  }

  @DataProvider
  public static Object[][] otherConfirmations() {
    return new Object[][] {
      {""},
      {"null"},
      {"{}"},
      {"{\"term\":\"x\"}"},
      {Json.write(time(TERM - 2))},
      {Json.write(time(TERM))},
      {Json.write(time(REVISION + 1))},
      {Json.write(confirmation(TERM - 2))},
      {Json.write(confirmation(TERM - 3).claimedBy(TERM - 2))},
      {Json.write(confirmation(TERM - 1).claimedBy(REVISION + 1))},
      {Json.write(clockOf("w", 0))},
      {Json.write(clockOf(null, 7))}
    };
  }

  /** An owner of an older release may have followed, or another writer has damaged the record. */
  @Test(dataProvider = "otherConfirmations")
  public void should_conclude_nothing_from_what_is_no_confirmation_of_that_owner(String text) {
    Ownership ownership = after(lastConfirmation(text));
    assertThat(ownership.lastConfirmation()).isEmpty();
    assertThat(ownership.latestMs(time(TERM - 1))).isEmpty();
  }

  /** Of owners further back it is not known whether they kept to the ends that the list names. */
  @Test
  public void should_rely_on_a_list_of_the_last_two_owners_only() {
    Ownership ownership = after(Optional.of(confirmation(TERM - 1)));
    assertThat(ownership.latestMs(time(TERM - 1))).hasValue(RECEIVED_MS);
    assertThat(ownership.latestMs(time(TERM - 2))).hasValue(RECEIVED_MS);
    assertThat(ownership.latestMs(time(TERM - 3))).isEqualTo(OptionalLong.empty());
  }
}
