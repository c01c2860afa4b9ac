package org.foxtailford.entry.request;

/** Counts what becomes of requests. */
public interface RequestMetrics {

  /** Counts an answered request. */
  void answered(String route, int status, long tookMs);

  /** Counts a refusal of this VM by its reason. */
  void refused(String reason);

  /** Counts a further send by its reason. */
  void repeated(String reason);

  /** Counts a further send that was not made, by its reason. */
  void notRepeated(String reason);

  /** Counts a request that waits for an upstream, and how long it did. */
  void waited(String service, long waitedMs);
}
