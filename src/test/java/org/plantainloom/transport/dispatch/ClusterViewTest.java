package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.StoreItem;
import org.testng.annotations.Test;

/** Tests that an entry that fails to be read leaves the other entries of operators in force. */
public class ClusterViewTest {
  private static final String FATAL_KEY = "o/fatal";
  private static final String CONFIG_KEY = "o/config";
  private static final String ZONE_KEY = "o/zone";

  private static final class FailingCodec implements ClusterCodec {
    @Override
    public String operatorPrefix() {
      return "o/";
    }

    @Override
    public String workerPrefix() {
      return "w/";
    }

    @Override
    public Optional<ClusterConfig> config(String key, String text) {
      if (key.equals(FATAL_KEY)) {
        throw new StackOverflowError("expected by the test");
      }
      return key.equals(CONFIG_KEY)
          ? Optional.of(new ClusterConfig(7, List.of(), List.of(), 1_000))
          : Optional.empty();
    }

    @Override
    public Optional<String> withdrawnZone(String key) {
      return key.equals(ZONE_KEY) ? Optional.of("zone-1") : Optional.empty();
    }

    @Override
    public Optional<WorkerRegistration> worker(String key, String text) {
      return Optional.empty();
    }

    @Override
    public String workerId(String key) {
      return "";
    }
  }

  @Test
  public void should_apply_the_other_entries_of_a_snapshot_when_one_fails() {
    // given
    ClusterView view = new ClusterView(new FailingCodec(), () -> {});
    // when
    view.onSnapshot(
        List.of(
            new StoreItem(FATAL_KEY, "", 1),
            new StoreItem(CONFIG_KEY, "", 2),
            new StoreItem(ZONE_KEY, "", 3)));
    // then
    assertThat(view.config().version()).isEqualTo(7);
    assertThat(view.withdrawnZones()).containsExactly("zone-1");
  }
}
