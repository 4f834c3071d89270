package org.plantainloom.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A team's configuration, generated from its questionnaire and changed by its intents.
 *
 * @param team the team
 * @param quota resources the team may use before others' spare capacity
 * @param services the services to keep running
 * @param batchKinds the kinds of batch work that jobs are created of
 */
public record TeamConfig(
    TeamId team, ResourceVector quota, List<ServiceSpec> services, List<BatchKind> batchKinds) {
  /** Creates the configuration with a copy of its list. */
  public TeamConfig {
    services = List.copyOf(services);
    batchKinds = List.copyOf(batchKinds);
  }

  /** Returns the configuration of a team that has declared nothing yet. */
  public static TeamConfig empty(TeamId team) {
    return new TeamConfig(team, ResourceVector.ZERO, List.of(), List.of());
  }

  /** Returns the kind of batch work of that name. */
  public Optional<BatchKind> batchKind(String name) {
    return batchKinds.stream().filter(k -> k.name().equals(name)).findFirst();
  }

  /** Returns a copy with the service added, or replaced if one of that name is there. */
  public TeamConfig withService(ServiceSpec service) {
    List<ServiceSpec> next = new ArrayList<>(withoutService(service.name()).services);
    next.add(service);
    return new TeamConfig(team, quota, next, batchKinds);
  }

  /** Returns a copy without the service of that name. */
  public TeamConfig withoutService(String name) {
    List<ServiceSpec> next = services.stream().filter(s -> !s.name().equals(name)).toList();
    return new TeamConfig(team, quota, next, batchKinds);
  }

  /** Returns the service of that name. */
  public Optional<ServiceSpec> service(String name) {
    return services.stream().filter(s -> s.name().equals(name)).findFirst();
  }
}
