package org.foxtailford.core.upstream;

/**
 * Estimates the load and health of one upstream as observed by this entry VM. Not thread-safe.
 *
 * <p>Requests of other entry VMs are derived from the upstream's reports, whose weight decays. The
 * expected answer time grows for an upstream that fails part of its requests, or has not responded
 * for longer than its typical service time, so that others are chosen. An unreachable upstream is
 * suspended for a while.
 */
public final class UpstreamLoad {

  /** Time until a report has no weight left, in milliseconds; several typical requests. */
  public static final long REPORT_DECAY_MS = 800;

  /**
   * Duration of the first suspension after consecutive failures, in milliseconds; doubles each
   * time.
   */
  public static final long INITIAL_SUSPENSION_MS = 250;

  /** Maximum duration of a suspension, in milliseconds; about one heartbeat of an upstream. */
  public static final long MAX_SUSPENSION_MS = 2000;

  /**
   * Maximum pause that an upstream may ask for, in milliseconds; a mistaken value must not keep it
   * idle for longer than a request may last.
   */
  public static final long MAX_PAUSE_MS = 10_000;

  /**
   * Cost of a failed request as a multiple of the typical work: a retry, or the loss of the
   * request.
   */
  private static final double FAILURE_COST = 10;

  /** Half-life of the failure rate, in milliseconds. */
  private static final double FAILURE_HALF_LIFE_MS = 3000;

  /** Time without a response after which it is penalized, as a multiple of the typical work. */
  private static final double SILENCE_THRESHOLD_FACTOR = 2;

  private static final double SERVICE_TIME_WEIGHT = 0.15;
  private static final double FAILURE_WEIGHT = 0.12;

  private int inFlight;
  private int slots;
  private double slowness = 1;
  private double otherRequests;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private long lastResponseAtMs;
  private double typicalMs;
  private double failureRate;
  private long failureAtMs;
  private int consecutiveFailures;
  private long suspendedUntilMs;
  private long pausedUntilMs;

  /**
   * Creates the load of an upstream that has not reported yet.
   *
   * @param slots number of requests that the upstream processes concurrently
   */
  public UpstreamLoad(int slots) {
    this.slots = slots;
  }

  /** Records that this VM sends a request. */
  public void recordSend(long nowMs) {
    if (inFlight == 0) {
      lastResponseAtMs = nowMs;
    }
    inFlight++;
  }

  /** Records the end of a request, successful or not. */
  public void recordEnd(long nowMs) {
    inFlight--;
  }

  /** Records a load report, which includes the requests of this VM. */
  public void recordReport(LoadReport report, long nowMs) {
    slots = report.slots();
    slowness = report.slowness();
    otherRequests = Math.max(0, report.running() + report.waiting() - inFlight);
    reportedAtMs = nowMs;
    lastResponseAtMs = nowMs;
  }

  /**
   * Records a successful answer and ends a suspension.
   *
   * @param tookMs time from the send to the end of the answer, in milliseconds
   * @param measuresWork whether that time is a measure of the upstream's service time
   */
  public void recordSuccess(double tookMs, boolean measuresWork) {
    consecutiveFailures = 0;
    suspendedUntilMs = 0;
    failureRate -= FAILURE_WEIGHT * failureRate;
    if (measuresWork) {
      double normalizedMs = tookMs / slowness;
      typicalMs =
          typicalMs == 0
              ? normalizedMs
              : typicalMs + SERVICE_TIME_WEIGHT * (normalizedMs - typicalMs);
    }
  }

  /** Records an answer that reports a failure within the upstream. */
  public void recordErrorResponse(long nowMs) {
    lastResponseAtMs = nowMs;
    addFailure(nowMs, 1);
  }

  /** Records that the upstream rejected a request for lack of capacity. */
  public void recordRejection(long nowMs) {
    recordErrorResponse(nowMs);
    otherRequests = Math.max(otherRequests, slots - inFlight);
    reportedAtMs = nowMs;
  }

  /** Records that a request has been waiting for much longer than is typical. */
  public void recordSilence(long nowMs) {
    addFailure(nowMs, 0.5);
  }

  /** Records a lost connection; two consecutive ones suspend the upstream. */
  public void recordConnectionLoss(long nowMs) {
    addFailure(nowMs, 1);
    consecutiveFailures++;
    if (consecutiveFailures >= 2) {
      suspend(nowMs);
    }
  }

  /** Records that no connection can be opened; suspends the upstream immediately. */
  public void recordUnreachable(long nowMs) {
    addFailure(nowMs, 1);
    consecutiveFailures = Math.max(2, consecutiveFailures + 1);
    suspend(nowMs);
  }

  /**
   * Records that the upstream asked for a pause, during which it gets nothing. Unlike a suspension,
   * the pause does not end with a success: that answers an earlier request.
   *
   * @param pauseMs time from now on, in milliseconds; at most {@link #MAX_PAUSE_MS} are obeyed
   */
  public void recordPause(long pauseMs, long nowMs) {
    pausedUntilMs = Math.max(pausedUntilMs, nowMs + Math.min(pauseMs, MAX_PAUSE_MS));
  }

  private void suspend(long nowMs) {
    long pause = INITIAL_SUSPENSION_MS << Math.min(consecutiveFailures - 2, 8);
    suspendedUntilMs = nowMs + Math.min(pause, MAX_SUSPENSION_MS);
  }

  private void addFailure(long nowMs, double weight) {
    double currentRate = failureRate(nowMs);
    failureRate = currentRate + FAILURE_WEIGHT * weight * (1 - currentRate);
    failureAtMs = nowMs;
  }

  private double failureRate(long nowMs) {
    if (failureRate == 0) {
      return 0;
    }
    return failureRate * Math.pow(0.5, (nowMs - failureAtMs) / FAILURE_HALF_LIFE_MS);
  }

  /** Ends a suspension whose reason was this VM's own path to the upstream. */
  public void endSuspension() {
    consecutiveFailures = 0;
    suspendedUntilMs = 0;
  }

  /** Returns the time for which the upstream owes an answer, in milliseconds; 0 if it owes none. */
  public long silentMs(long nowMs) {
    return inFlight == 0 ? 0 : nowMs - lastResponseAtMs;
  }

  /** Returns whether the upstream is suspended or paused, so that it should get no requests. */
  public boolean isSuspended(long nowMs) {
    return nowMs < suspendedUntilMs();
  }

  /**
   * Returns the end of the current or last suspension or pause, in milliseconds; 0 if there is
   * none.
   */
  public long suspendedUntilMs() {
    return Math.max(suspendedUntilMs, pausedUntilMs);
  }

  /** Returns the end of the current or last pause, in milliseconds; 0 if there is none. */
  public long pausedUntilMs() {
    return pausedUntilMs;
  }

  /** Returns the number of requests of this VM that are in flight to the upstream. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the number of requests that the upstream processes concurrently. */
  public int slots() {
    return slots;
  }

  /** Returns the estimated number of requests at the upstream, from all entry VMs together. */
  public double occupied(long nowMs) {
    double age = Math.max(0, nowMs - reportedAtMs);
    double reportWeight = Math.max(0, 1 - age / REPORT_DECAY_MS);
    return inFlight + otherRequests * reportWeight;
  }

  /** Returns the current service time on its VM relative to the typical one; 1 is typical. */
  public double slowness() {
    return slowness;
  }

  /** Returns the average service time at a slowness of 1, in milliseconds; 0 if unknown. */
  public double typicalMs() {
    return typicalMs;
  }

  /**
   * Returns the estimated service time at the current slowness, in milliseconds.
   *
   * @param serviceTypicalMs typical time of the service, used until an answer was measured
   */
  public double workMs(double serviceTypicalMs) {
    return (typicalMs == 0 ? serviceTypicalMs : typicalMs) * slowness;
  }

  /**
   * Returns the expected answer time of one more request, in milliseconds, including queueing and
   * penalties for failures and missing responses.
   *
   * @param serviceTypicalMs typical time of the service, used until an answer was measured
   */
  public double expectedMs(double serviceTypicalMs, long nowMs) {
    double work = workMs(serviceTypicalMs);
    double ahead = Math.max(0, occupied(nowMs) + 1 - slots);
    return work * (1 + ahead / slots)
        + failurePenaltyMs(work, serviceTypicalMs, nowMs)
        + silencePenaltyMs(work, nowMs);
  }

  /**
   * Returns the penalties for failures and missing responses that {@link #expectedMs} includes, in
   * milliseconds.
   */
  public double penaltyMs(double serviceTypicalMs, long nowMs) {
    double work = workMs(serviceTypicalMs);
    return failurePenaltyMs(work, serviceTypicalMs, nowMs) + silencePenaltyMs(work, nowMs);
  }

  private double failurePenaltyMs(double work, double serviceTypicalMs, long nowMs) {
    return FAILURE_COST * failureRate(nowMs) * Math.max(work, serviceTypicalMs);
  }

  private double silencePenaltyMs(double work, long nowMs) {
    double silence = inFlight == 0 ? 0 : nowMs - lastResponseAtMs - SILENCE_THRESHOLD_FACTOR * work;
    return Math.max(0, silence);
  }
}
