package org.foxtailford.entry.request;

/** Counts what becomes of requests. */
public interface RequestMetrics {

  /** Counts an answered request. */
  void recordAnswer(String route, int status, long tookMs);

  /** Counts a refusal of this VM by its reason. */
  void recordRefusal(String reason);

  /** Counts a further send by its reason. */
  void recordRetry(String reason);

  /** Counts a further send that was not made, by its reason. */
  void recordDeniedRetry(String reason);

  /** Counts a request that waits for an upstream, and how long it did. */
  void recordWait(String service, long waitedMs);
}
