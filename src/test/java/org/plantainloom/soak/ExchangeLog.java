package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** All requests of the callers of a run, for rules that are judged after the run. */
final class ExchangeLog {
  private final List<Exchange> exchanges = new ArrayList<>();
  private final Map<String, Long> acceptedMs = new HashMap<>();
  private final Map<String, Long> cancelSentMs = new HashMap<>();

  synchronized void add(Exchange exchange) {
    exchanges.add(exchange);
    if (exchange.method().equals("POST") && exchange.isSuccess()) {
      acceptedMs.merge(exchange.jobId(), exchange.endMs(), Math::min);
    }
  }

  /** Notes that a cancellation is about to be sent, whether it arrives or not. */
  synchronized void cancelSent(String jobId, long atMs) {
    cancelSentMs.merge(jobId, atMs, Math::min);
  }

  /** Returns when the submission of a job was first acknowledged. */
  synchronized OptionalLong acceptedMs(String jobId) {
    return time(acceptedMs, jobId);
  }

  /** Returns whether a cancellation of a job may have been sent up to a moment. */
  synchronized boolean isCancelSent(String jobId, long atMs) {
    return cancelSentMs.getOrDefault(jobId, Long.MAX_VALUE) <= atMs;
  }

  private static OptionalLong time(Map<String, Long> times, String jobId) {
    Long atMs = times.get(jobId);
    return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
  }

  synchronized List<Exchange> all() {
    return List.copyOf(exchanges);
  }

  /** Returns whether a response showed a job in a state. */
  boolean isShownAs(String jobId, String state) {
    return all().stream()
        .anyMatch(
            exchange ->
                exchange.isAnswer("GET")
                    && exchange.jobId().equals(jobId)
                    && exchange.state().equals(state));
  }

  /** Returns the requests for the states of jobs that were sent from a moment on. */
  List<Exchange> queriesFrom(long fromMs) {
    return all().stream()
        .filter(exchange -> exchange.method().equals("GET") && exchange.sentMs() >= fromMs)
        .toList();
  }
}
