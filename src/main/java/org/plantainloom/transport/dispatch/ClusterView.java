package org.plantainloom.transport.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.KnownAsOf;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;

/**
 * This node's view of the operators' configuration and of the withdrawn availability zones. A
 * configuration is replaced only by one with a higher version.
 *
 * <p>Changes arrive on one event loop; any thread may read what is known.
 */
final class ClusterView implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(ClusterView.class);

  private final ClusterCodec codec;
  private final Runnable confirmationListener;
  private volatile ClusterConfig config = ClusterConfig.UNKNOWN;
  private volatile Set<String> withdrawnZones = Set.of();
  private volatile long changes;
  private volatile KnownAsOf knownAsOf = KnownAsOf.NEVER;

  /**
   * Creates a view that knows nothing.
   *
   * @param confirmationListener called when all is known that operators had written by some time
   */
  ClusterView(ClusterCodec codec, Runnable confirmationListener) {
    this.codec = codec;
    this.confirmationListener = confirmationListener;
  }

  ClusterConfig config() {
    return config;
  }

  Set<String> withdrawnZones() {
    return withdrawnZones;
  }

  /** Returns how often the configuration or the withdrawn zones have changed. */
  long changes() {
    return changes;
  }

  /** Returns how long ago all was known that operators had written by then, in milliseconds. */
  long ageMs() {
    return knownAsOf.ageMs(NodeContext.nowMs(), NodeContext.wallMs());
  }

  @Override
  public void onComplete(long sentMs, long sentWallMs) {
    knownAsOf = knownAsOf.latest(new KnownAsOf(sentMs, sentWallMs));
    confirmationListener.run();
  }

  @Override
  public void onSnapshot(List<StoreItem> items) {
    Set<String> zones = new HashSet<>();
    for (StoreItem item : items) {
      PrefixWatch.handle(
          item.key(),
          () -> {
            codec.withdrawnZone(item.key()).ifPresent(zones::add);
            codec.config(item.key(), item.value()).ifPresent(this::applyConfig);
          });
    }
    applyWithdrawnZones(zones);
  }

  @Override
  public void onChange(StoreEvent event) {
    Optional<String> zone = codec.withdrawnZone(event.key());
    if (zone.isPresent()) {
      Set<String> zones = new HashSet<>(withdrawnZones);
      if (event.value().isPresent()) {
        zones.add(zone.get());
      } else {
        zones.remove(zone.get());
      }
      applyWithdrawnZones(zones);
    }
    event.value().flatMap(text -> codec.config(event.key(), text)).ifPresent(this::applyConfig);
  }

  private void applyConfig(ClusterConfig newConfig) {
    if (newConfig.version() > config.version()) {
      LOG.infof(
          "event=config-applied version=%d before=%d queues=%d knownMsAgo=%s",
          newConfig.version(),
          config.version(),
          newConfig.queues().size(),
          knownAsOf.equals(KnownAsOf.NEVER) ? "never" : ageMs());
      config = newConfig;
      recordChange();
    }
  }

  private void applyWithdrawnZones(Set<String> zones) {
    if (!zones.equals(withdrawnZones)) {
      LOG.infof("event=zones-withdrawn zones=%s before=%s", zones, withdrawnZones);
      withdrawnZones = Set.copyOf(zones);
      recordChange();
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // one thread writes
  private void recordChange() {
    changes++;
  }
}
