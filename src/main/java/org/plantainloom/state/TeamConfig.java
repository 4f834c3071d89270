package org.plantainloom.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A team's configuration: generated from its questionnaire, then changed by its intents.
 *
 * @param team the team
 * @param quota resources the team is entitled to; beyond them it uses the spare capacity of others
 * @param services the services to keep running
 * @param batchKinds the kinds of batch work that jobs are created from
 */
public record TeamConfig(
    TeamId team, ResourceVector quota, List<ServiceSpec> services, List<BatchKind> batchKinds) {
  /** Creates the configuration with copies of its lists. */
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

  /** Returns a copy with the service added; it replaces a service of the same name. */
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
