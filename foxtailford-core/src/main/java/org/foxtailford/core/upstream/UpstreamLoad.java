package org.foxtailford.core.upstream;

/**
 * Load and health of one upstream as one entry VM sees them. Not thread-safe.
 *
 * <p>Requests of other entry VMs are known from the upstream's reports, which fade. An upstream
 * that fails part of its requests, or is silent for longer than its work usually takes, is expected
 * to take longer, so that others are chosen; one that can't be reached is left alone for a while.
 */
public final class UpstreamLoad {

  /** Time after which a report counts for nothing, in milliseconds; some times a usual request. */
  public static final long REPORT_DECAY_MS = 800;

  /** First time without use after failures in a row, in milliseconds; it doubles. */
  public static final long INITIAL_SUSPENSION_MS = 250;

  /** Longest time without use, in milliseconds; about a heartbeat of an upstream. */
  public static final long MAX_SUSPENSION_MS = 2000;

  /** How many times the usual work a failed request costs: another send, or the request itself. */
  private static final double FAILURE_COST = 10;

  /** Time in which half of the share of failures is forgotten, in milliseconds. */
  private static final double FAILURE_HALF_LIFE_MS = 3000;

  /** Silence, in times of the usual work, after which it counts. */
  private static final double SILENCE_FACTOR = 2;

  private static final double TIME_WEIGHT = 0.15;
  private static final double FAILURE_WEIGHT = 0.12;

  private int inFlight;
  private int slots;
  private double slowness = 1;
  private double others;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private long heardAtMs;
  private double typicalMs;
  private double failureShare;
  private long failureAtMs;
  private int failures;
  private long suspendedUntilMs;

  /** Creates the load of an upstream that has reported nothing. */
  public UpstreamLoad(int slots) {
    this.slots = slots;
  }

  /** Notes that a request goes out. */
  public void recordSend(long nowMs) {
    if (inFlight == 0) {
      heardAtMs = nowMs;
    }
    inFlight++;
  }

  /** Notes that a request has ended, however it did. */
  public void recordEnd(long nowMs) {
    inFlight--;
  }

  /** Notes a report; it counts the requests of this VM too. */
  public void recordReport(LoadReport report, long nowMs) {
    slots = report.slots();
    slowness = report.slowness();
    others = Math.max(0, report.running() + report.waiting() - inFlight);
    reportedAtMs = nowMs;
    heardAtMs = nowMs;
  }

  /**
   * Notes a good answer.
   *
   * @param tookMs time from the send to the end of the answer, in milliseconds
   * @param timed whether that time tells how long the upstream works
   */
  public void recordSuccess(double tookMs, boolean timed) {
    failures = 0;
    suspendedUntilMs = 0;
    failureShare -= FAILURE_WEIGHT * failureShare;
    if (timed) {
      double asUsual = tookMs / slowness;
      typicalMs = typicalMs == 0 ? asUsual : typicalMs + TIME_WEIGHT * (asUsual - typicalMs);
    }
  }

  /** Notes an answer that tells of a failure within the upstream. */
  public void recordErrorResponse(long nowMs) {
    heardAtMs = nowMs;
    addFailure(nowMs, 1);
  }

  /** Notes that the upstream refused for lack of room. */
  public void recordRejection(long nowMs) {
    recordErrorResponse(nowMs);
    others = Math.max(others, slots - inFlight);
    reportedAtMs = nowMs;
  }

  /** Notes that a request waits for much longer than usual. */
  public void recordSilence(long nowMs) {
    addFailure(nowMs, 0.5);
  }

  /** Notes a lost connection; two in a row suspend the upstream. */
  public void recordConnectionLoss(long nowMs) {
    addFailure(nowMs, 1);
    failures++;
    if (failures >= 2) {
      suspend(nowMs);
    }
  }

  /** Notes that there is no connection to be had; the upstream is suspended at once. */
  public void recordUnreachable(long nowMs) {
    addFailure(nowMs, 1);
    failures = Math.max(2, failures + 1);
    suspend(nowMs);
  }

  private void suspend(long nowMs) {
    long pause = INITIAL_SUSPENSION_MS << Math.min(failures - 2, 8);
    suspendedUntilMs = nowMs + Math.min(pause, MAX_SUSPENSION_MS);
  }

  private void addFailure(long nowMs, double weight) {
    double present = failureShare(nowMs);
    failureShare = present + FAILURE_WEIGHT * weight * (1 - present);
    failureAtMs = nowMs;
  }

  private double failureShare(long nowMs) {
    if (failureShare == 0) {
      return 0;
    }
    return failureShare * Math.pow(0.5, (nowMs - failureAtMs) / FAILURE_HALF_LIFE_MS);
  }

  /** Returns whether the upstream is left alone for now. */
  public boolean isSuspended(long nowMs) {
    return nowMs < suspendedUntilMs;
  }

  /** Returns until when the upstream is left alone, in milliseconds. */
  public long suspendedUntilMs() {
    return suspendedUntilMs;
  }

  /** Returns the requests of this VM at the upstream. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the slots. */
  public int slots() {
    return slots;
  }

  /** Returns the requests that the upstream probably has, all entry VMs together. */
  public double occupied(long nowMs) {
    double age = Math.max(0, nowMs - reportedAtMs);
    double trust = Math.max(0, 1 - age / REPORT_DECAY_MS);
    return inFlight + others * trust;
  }

  /** Returns how long work takes on its machine now, 1 as usual. */
  public double slowness() {
    return slowness;
  }

  /** Returns how long its work takes with usual slowness, in milliseconds; 0 if unknown. */
  public double typicalMs() {
    return typicalMs;
  }

  /** Returns how long the upstream's work probably takes now, in milliseconds. */
  public double workMs(double serviceTypicalMs) {
    return (typicalMs == 0 ? serviceTypicalMs : typicalMs) * slowness;
  }

  /** Returns how long one more request would probably take, in milliseconds. */
  public double expectedMs(double serviceTypicalMs, long nowMs) {
    double work = workMs(serviceTypicalMs);
    double ahead = Math.max(0, occupied(nowMs) + 1 - slots);
    double silence = inFlight == 0 ? 0 : nowMs - heardAtMs - SILENCE_FACTOR * work;
    double failures = FAILURE_COST * failureShare(nowMs) * Math.max(work, serviceTypicalMs);
    return work * (1 + ahead / slots) + failures + Math.max(0, silence);
  }
}
