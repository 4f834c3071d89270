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
 */
final class ClusterView implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(ClusterView.class);

  private final ClusterCodec codec;
  private final Runnable changeListener;
  private volatile ClusterConfig config = ClusterConfig.UNKNOWN;
  private volatile Set<String> withdrawnZones = Set.of();
  private volatile KnownAsOf knownAsOf = KnownAsOf.NEVER;

  ClusterView(ClusterCodec codec, Runnable changeListener) {
    this.codec = codec;
    this.changeListener = changeListener;
  }

  ClusterConfig config() {
    return config;
  }

  Set<String> withdrawnZones() {
    return withdrawnZones;
  }

  /** Returns how long ago all was known that operators had written by then, in milliseconds. */
  long ageMs() {
    return knownAsOf.ageMs(NodeContext.nowMs(), NodeContext.wallMs());
  }

  @Override
  public void onComplete(long sentMs, long sentWallMs) {
    knownAsOf = knownAsOf.latest(new KnownAsOf(sentMs, sentWallMs));
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
    changeListener.run();
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
    changeListener.run();
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
    }
  }

  private void applyWithdrawnZones(Set<String> zones) {
    if (!zones.equals(withdrawnZones)) {
      LOG.infof("event=zones-withdrawn zones=%s before=%s", zones, withdrawnZones);
      withdrawnZones = Set.copyOf(zones);
    }
  }
}
