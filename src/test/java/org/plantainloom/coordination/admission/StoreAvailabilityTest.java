package org.plantainloom.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Replays calls to a store that is slow, silent and back again. */
public class StoreAvailabilityTest {
  /** Longest answer time of a slow store, with the network. */
  private static final long SLOW_MS = 300;

  @Test
  public void should_send_requests_while_the_store_is_only_slow() {
    // given
    StoreAvailability store = new StoreAvailability();
    for (long nowMs = 0; nowMs < 10_000; nowMs += SLOW_MS) {
      // when
      boolean admitted = store.admits(nowMs);
      store.callSent(nowMs);
      // then
      assertThat(admitted).isTrue();
      store.callServed();
    }
  }

  @Test
  public void should_refuse_requests_at_once_while_the_store_serves_none() {
    // given: a request each 20 ms, none of which the store answers
    StoreAvailability store = new StoreAvailability();
    int refused = 0;
    int sent = 0;
    for (long nowMs = 0; nowMs < 6_500; nowMs += 20) {
      // when
      if (store.admits(nowMs)) {
        store.callSent(nowMs);
        sent++;
      } else {
        refused++;
      }
    }
    // then: only those of the first half second have waited
    assertThat(sent).isLessThanOrEqualTo(26);
    assertThat(refused).isGreaterThan(290);
  }

  @Test
  public void should_test_a_few_times_a_second_whether_the_store_is_back() {
    // given
    StoreAvailability store = new StoreAvailability();
    store.callSent(0);
    // when
    int probes = 0;
    for (long nowMs = 1_000; nowMs < 2_000; nowMs++) {
      if (store.isProbeDue(nowMs)) {
        probes++;
        store.probeSent(nowMs);
      }
    }
    // then
    assertThat(probes).isEqualTo(4);
    store.callServed();
    assertThat(store.admits(2_000)).isTrue();
    assertThat(store.isProbeDue(60_000)).isFalse();
  }

  @Test
  public void should_find_out_without_requests_that_a_single_call_was_lost() {
    // given: one call without an answer, and no request for a while after it
    StoreAvailability store = new StoreAvailability();
    store.callSent(0);
    // when: the test that is due before the store counts as unavailable is served
    assertThat(store.isProbeDue(300)).isTrue();
    store.probeSent(300);
    store.callServed();
    // then
    assertThat(store.admits(30_000)).isTrue();
  }

  @Test
  public void should_send_the_first_request_after_a_long_idle_time() {
    // given
    StoreAvailability store = new StoreAvailability();
    store.callSent(0);
    store.callServed();
    // then
    assertThat(store.admits(60_000)).isTrue();
  }
}
