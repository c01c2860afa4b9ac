package org.foxtailford.entry.request;

/** Records the outcomes of requests. Called on the event loop. */
public interface RequestMetrics {

  /** Records an upstream's answer and the time since the request's arrival, in milliseconds. */
  void recordAnswer(String route, int status, long tookMs);

  /** Records a request that this VM refused or failed. */
  void recordRefusal(String reason);

  /** Records a request that was not sent, as its caller had left or its time was up by then. */
  void recordWithheld(String reason);

  /** Records a retry or hedge. */
  void recordRetry(String reason);

  /** Records a retry or hedge that was not allowed. */
  void recordDeniedRetry(String reason);

  /** Records a pause that an upstream asked for, or one that can't be read and is ignored. */
  void recordPause(String outcome);

  /** Records an answer that names its upstream's limit, readable or not. */
  void recordLimit(String outcome);

  /** Records the decision on a request of a tenant with a limit. */
  void recordQuota(String tenant, String outcome);

  /**
   * Records how long an attempt went on after its caller was known to have left, in milliseconds.
   *
   * @param outcome {@code abandoned}, or {@code left to run} if it must not be ended
   */
  void recordWorkAfterCaller(String outcome, long tookMs);

  /** Records how long a queued request waited before it was sent, in milliseconds. */
  void recordWait(String service, long waitedMs);

  /**
   * Records the cost of a request, in milliseconds of an upstream of average speed that is not
   * slow.
   */
  void recordCost(String service, double expectedMs, double actualMs);
}
