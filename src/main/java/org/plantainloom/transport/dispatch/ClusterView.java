package org.plantainloom.transport.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;

/** What operators ask for, as far as this node knows; the configuration never goes back. */
final class ClusterView implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(ClusterView.class);

  private final ClusterCodec codec;
  private final Runnable onChange;
  private volatile ClusterConfig config = ClusterConfig.UNKNOWN;
  private volatile Set<String> withdrawnZones = Set.of();

  ClusterView(ClusterCodec codec, Runnable onChange) {
    this.codec = codec;
    this.onChange = onChange;
  }

  ClusterConfig config() {
    return config;
  }

  Set<String> withdrawnZones() {
    return withdrawnZones;
  }

  @Override
  public void read(List<StoreItem> items) {
    Set<String> zones = new HashSet<>();
    for (StoreItem item : items) {
      codec.config(item.key(), item.value()).ifPresent(this::accept);
      codec.withdrawnZone(item.key()).ifPresent(zones::add);
    }
    withdraw(zones);
    onChange.run();
  }

  @Override
  public void changed(StoreEvent event) {
    Optional<String> zone = codec.withdrawnZone(event.key());
    if (zone.isPresent()) {
      Set<String> zones = new HashSet<>(withdrawnZones);
      if (event.value().isPresent()) {
        zones.add(zone.get());
      } else {
        zones.remove(zone.get());
      }
      withdraw(zones);
    }
    event.value().flatMap(text -> codec.config(event.key(), text)).ifPresent(this::accept);
    onChange.run();
  }

  private void accept(ClusterConfig newConfig) {
    if (newConfig.version() > config.version()) {
      LOG.infof(
          "event=config-applied version=%d before=%d queues=%d",
          newConfig.version(), config.version(), newConfig.queues().size());
      config = newConfig;
    }
  }

  private void withdraw(Set<String> zones) {
    if (!zones.equals(withdrawnZones)) {
      LOG.infof("event=zones-withdrawn zones=%s before=%s", zones, withdrawnZones);
      withdrawnZones = Set.copyOf(zones);
    }
  }
}
