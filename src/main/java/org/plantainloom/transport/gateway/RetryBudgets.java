package org.plantainloom.transport.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.coordination.routing.RetryBudget;

/** The retry budgets by service. */
final class RetryBudgets {
  private final Map<String, RetryBudget> byService = new ConcurrentHashMap<>();

  RetryBudget forService(String service) {
    return byService.computeIfAbsent(service, name -> new RetryBudget());
  }
}
