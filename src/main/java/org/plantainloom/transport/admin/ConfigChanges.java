package org.plantainloom.transport.admin;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WriteResult;
import org.plantainloom.state.ZoneName;

/**
 * Applies changes of the configuration by compare-and-swap.
 *
 * <p>A team's new document is written first, under a new key; the change is accepted when the index
 * refers to that key. If the reply to a write was lost, the index is read again and searched for
 * the change id. The methods block and must be called on blocking threads only.
 */
public final class ConfigChanges {
  private static final Logger LOG = Logger.getLogger(ConfigChanges.class);
  private static final int MAX_ATTEMPTS = 20;

  private final KeyValueStore store;

  /** Creates an instance that works on the store. */
  public ConfigChanges(KeyValueStore store) {
    this.store = store;
  }

  /** Replaces a team's configuration by one that is derived from the current one. */
  public ChangeOutcome changeTeam(
      ChangeRequest request, TeamId team, UnaryOperator<TeamConfig> change) {
    return change(
        request,
        index -> {
          Optional<TeamConfig> current = readTeamConfig(index, team);
          if (current.isEmpty()) {
            return Optional.empty();
          }
          String version = (index.revision() + 1) + "-" + request.changeId();
          String document = Json.write(change.apply(current.get()));
          // A conflict means that an earlier attempt has already written the same document.
          WriteResult written =
              store
                  .compareAndSwap(Keys.teamConfig(team, version), KeyValueStore.ABSENT, document)
                  .join();
          return written instanceof WriteResult.Unknown
              ? Optional.empty()
              : Optional.of(index.withTeam(team, version, request.changeId()));
        });
  }

  /** Takes an availability zone out of service or brings it back. */
  public ChangeOutcome changeZone(ChangeRequest request, ZoneName zone, boolean out) {
    return change(request, index -> Optional.of(index.withZone(zone, out, request.changeId())));
  }

  private ChangeOutcome change(
      ChangeRequest request, Function<ConfigIndex, Optional<ConfigIndex>> derive) {
    try {
      return changeReadable(request, derive);
    } catch (MalformedMessageException e) {
      // Another attempt would read the same text.
      LOG.errorf("change %s: %s", request.changeId(), e.getMessage());
      return new ChangeOutcome.Unavailable("the stored configuration is unreadable");
    }
  }

  private ChangeOutcome changeReadable(
      ChangeRequest request, Function<ConfigIndex, Optional<ConfigIndex>> derive) {
    String reason = "no attempt was made";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      RetryBackoff.pauseAfter(attempt);
      ReadResult read = store.read(Keys.CONFIG_INDEX).join();
      if (read instanceof ReadResult.Unavailable unavailable) {
        reason = unavailable.reason();
        continue;
      }
      ConfigIndex index = indexOf(read);
      Optional<ChangeOutcome> outcome = outcomeWithoutWrite(request, index);
      if (outcome.isPresent()) {
        return outcome.get();
      }
      Optional<ConfigIndex> next = derive.apply(index);
      if (next.isEmpty()) {
        reason = "the team's document could not be read or written";
        continue;
      }
      WriteResult result =
          store.compareAndSwap(Keys.CONFIG_INDEX, revisionOf(read), Json.write(next.get())).join();
      if (result instanceof WriteResult.Written) {
        return new ChangeOutcome.Accepted(next.get().revision());
      }
      reason = "the index was changed by others or the reply of the store was lost";
    }
    return new ChangeOutcome.Unavailable(reason);
  }

  private static Optional<ChangeOutcome> outcomeWithoutWrite(
      ChangeRequest request, ConfigIndex index) {
    if (index.contains(request.changeId())) {
      return Optional.of(new ChangeOutcome.Accepted(index.revision()));
    }
    boolean unexpected =
        request.expectedRevision().filter(expected -> expected != index.revision()).isPresent();
    if (unexpected) {
      List<String> changes = index.changes();
      String latest = changes.isEmpty() ? "" : changes.get(changes.size() - 1);
      return Optional.of(new ChangeOutcome.Conflict(index.revision(), latest));
    }
    return Optional.empty();
  }

  /** Returns the current index, or empty if the store does not respond or it is unreadable. */
  public Optional<ConfigIndex> index() {
    ReadResult read = store.read(Keys.CONFIG_INDEX).join();
    try {
      return read instanceof ReadResult.Unavailable ? Optional.empty() : Optional.of(indexOf(read));
    } catch (MalformedMessageException e) {
      LOG.errorf("%s: %s", Keys.CONFIG_INDEX, e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Returns a team's configuration as of an index, or empty if the store does not respond or it is
   * unreadable.
   */
  public Optional<TeamConfig> teamConfig(ConfigIndex index, TeamId team) {
    try {
      return readTeamConfig(index, team);
    } catch (MalformedMessageException e) {
      LOG.errorf("configuration of %s: %s", team, e.getMessage());
      return Optional.empty();
    }
  }

  private Optional<TeamConfig> readTeamConfig(ConfigIndex index, TeamId team) {
    String version = index.teams().get(team);
    if (version == null) {
      return Optional.of(TeamConfig.empty(team));
    }
    ReadResult read = store.read(Keys.teamConfig(team, version)).join();
    return read instanceof ReadResult.Found found
        ? Optional.of(Json.read(found.value(), TeamConfig.class))
        : Optional.empty();
  }

  private static ConfigIndex indexOf(ReadResult read) {
    return read instanceof ReadResult.Found found
        ? Json.read(found.value(), ConfigIndex.class)
        : ConfigIndex.empty();
  }

  private static long revisionOf(ReadResult read) {
    return read instanceof ReadResult.Found found ? found.revision() : KeyValueStore.ABSENT;
  }
}
