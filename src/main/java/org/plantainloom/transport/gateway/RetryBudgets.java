package org.plantainloom.transport.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.coordination.routing.RetryBudget;

/** The retry budget of each service. */
final class RetryBudgets {
  private final Map<String, RetryBudget> byService = new ConcurrentHashMap<>();

  RetryBudget of(String service) {
    return byService.computeIfAbsent(service, s -> new RetryBudget());
  }
}
