package org.foxtailford.core.cost;

import java.util.HashMap;
import java.util.Map;
import org.foxtailford.core.util.Assert;

/**
 * Estimates the remaining work of one upstream. Addresses long requests: an upstream with one
 * request of 700 ms and one with one of 20 ms have the same number of requests in flight.
 *
 * <p>The requests of this VM count with their expected remaining cost given their time so far.
 * Those of other VMs are known from reports; as a report ages, the average load of the service
 * takes its place. An aged report must not look like an idle upstream, or all VMs send there. Not
 * thread-safe.
 */
public final class UpstreamBacklog {

  /** Time for which the sum over the running requests is used, in milliseconds. */
  private static final long REFRESH_MS = 10;

  /** Answers that the assumption of an average speed is worth. */
  private static final double PRIOR_ANSWERS = 2;

  private static final double MIN_SPEED = 0.2;
  private static final double MAX_SPEED = 3;

  /** Answers from which the weight of older ones decays, so that a change of speed is noticed. */
  private static final double MAX_ANSWERS = 400;

  /** Time constant of the weight of a reported slowness, in milliseconds. */
  private static final double SLOWNESS_MS = 577;

  /** Age from which a weight is taken as 0, in time constants, to save computing it. */
  private static final double MAX_AGE = 6;

  /** Window of the average number of requests at the upstream, in milliseconds. */
  private static final double AVERAGE_MS = 1000;

  /** Time after which the average of the service replaces that of the upstream. */
  private static final double FORGET_MS = 1000;

  /** Half-life of what is known of the speed, in milliseconds; a slow upstream is tried again. */
  private static final double SPEED_HALF_LIFE_MS = 20_000;

  /** Age up to which a report says more of a queue than the average, in milliseconds. */
  private static final long FRESH_MS = 100;

  private record Running(CostDistribution cost, long sentMs) {}

  private final ServiceLoadAverage average;
  private final Map<Object, Running> running = new HashMap<>();
  private int slots;
  private double slowness = 1;
  private double otherRequests;
  private double averageRequests;
  private long averagedMs = Long.MIN_VALUE / 2;
  private long reportedMs = Long.MIN_VALUE / 2;
  private double answers;
  private double relativeTotal;
  private long workedMs = Long.MIN_VALUE / 2;
  private double ownWorkMs;
  private long ownWorkAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the backlog of an upstream that has not reported yet.
   *
   * @param average average load of the upstreams of the service
   */
  public UpstreamBacklog(int slots, ServiceLoadAverage average) {
    Assert.isTrue(slots > 0, "slots must be positive");
    this.slots = slots;
    this.average = Assert.notNull(average, "average");
  }

  /** Records that this VM sends a request. */
  public void recordSend(Object request, CostDistribution cost, long nowMs) {
    running.put(request, new Running(cost, nowMs));
    ownWorkAtMs = Long.MIN_VALUE / 2;
  }

  /** Records the end of a request, successful or not. */
  public void recordEnd(Object request) {
    running.remove(request);
    ownWorkAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records a load report that this VM got, which includes its requests.
   *
   * @param requests number of running and waiting requests
   */
  public void recordReport(int requests, int newSlots, double newSlowness, long nowMs) {
    slots = newSlots;
    otherRequests = Math.max(0, requests - running.size());
    reportedMs = nowMs;
    recordSharedReport(requests, newSlowness, nowMs);
  }

  /**
   * Records a load report that another VM got. One that is older than the last one is ignored. The
   * queue changes faster than reports are shared, so that it counts only in the average.
   *
   * @param requests number of running and waiting requests
   * @param atMs when it was reported, in milliseconds
   */
  public void recordSharedReport(int requests, double newSlowness, long atMs) {
    if (atMs >= averagedMs) {
      double before = averageRequests(atMs);
      double weight = 1 - Math.exp(-Math.min(1e6, atMs - averagedMs) / AVERAGE_MS);
      averageRequests = before + weight * (requests - before);
      averagedMs = atMs;
      slowness = newSlowness;
      average.add((double) requests / slots, newSlowness);
    }
  }

  /** Returns whether the last report to this VM is so new that its queue may be as reported. */
  boolean isFresh(long nowMs) {
    return nowMs - reportedMs <= FRESH_MS;
  }

  /**
   * Records the time of an answer. It may include a wait at the upstream: one that is overloaded
   * then counts as slow and gets less, also from VMs that rarely see its queue.
   *
   * @param tookMs time of the answer divided by the slowness of the machine, in milliseconds
   * @param expectedMs expected cost of the request, in milliseconds
   */
  public void recordWork(double tookMs, double expectedMs, long nowMs) {
    recordSharedWork(1, tookMs / Math.max(1, expectedMs), nowMs);
  }

  /**
   * Records the times of answers.
   *
   * @param newAnswers number of answers
   * @param newRelativeTotal sum of their times relative to the expected costs
   */
  public void recordSharedWork(int newAnswers, double newRelativeTotal, long nowMs) {
    if (newAnswers <= 0 || newRelativeTotal < 0) {
      return;
    }
    double kept = Math.pow(0.5, Math.max(0, nowMs - workedMs) / SPEED_HALF_LIFE_MS);
    workedMs = Math.max(workedMs, nowMs);
    answers *= kept;
    relativeTotal *= kept;
    answers += newAnswers;
    relativeTotal += newRelativeTotal;
    if (answers > MAX_ANSWERS) {
      relativeTotal *= MAX_ANSWERS / answers;
      answers = MAX_ANSWERS;
    }
    average.addWork(newAnswers, newRelativeTotal);
  }

  /** Returns the speed of the upstream when its machine is not slow; 1 is the average. */
  public double speed() {
    double usual = average.relativeTime();
    double relative = (relativeTotal + PRIOR_ANSWERS * usual) / (answers + PRIOR_ANSWERS);
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, usual / Math.max(1e-9, relative)));
  }

  /** Returns the slowness of the machine, which returns to the average as its report ages. */
  public double slowness(long nowMs) {
    double weight = decay(nowMs - averagedMs, SLOWNESS_MS);
    return average.slowness() + weight * (slowness - average.slowness());
  }

  private static double decay(double ageMs, double timeConstantMs) {
    double age = ageMs / timeConstantMs;
    return age <= 0 ? 1 : age > MAX_AGE ? 0 : Math.exp(-age);
  }

  /** Returns the average number of requests at the upstream. */
  private double averageRequests(long nowMs) {
    double usual = average.requestsPerSlot() * slots;
    double weight = decay(nowMs - averagedMs, FORGET_MS);
    return usual + weight * (averageRequests - usual);
  }

  /** Returns the speed of the upstream on its machine as it is; 1 is the average. */
  public double presentSpeed(long nowMs) {
    return speed() / slowness(nowMs);
  }

  /** Returns the number of requests that it processes concurrently. */
  public int slots() {
    return slots;
  }

  /** Returns the expected remaining work of this VM's requests, in milliseconds of cost. */
  public double ownWorkMs(long nowMs) {
    if (nowMs - ownWorkAtMs >= REFRESH_MS) {
      double speed = speed() / slowness(nowMs);
      double sum = 0;
      for (Running request : running.values()) {
        sum += request.cost().remainingMs((nowMs - request.sentMs()) * speed);
      }
      ownWorkMs = sum;
      ownWorkAtMs = nowMs;
    }
    return ownWorkMs;
  }

  /**
   * Returns the expected time until one more request is begun, in milliseconds.
   *
   * @param typical cost of the service's requests
   * @param speed present speed of the upstream, its slowness included
   */
  public double waitMs(CostDistribution typical, double speed, long nowMs) {
    double rounds = Math.max(1, otherRequests / slots);
    double turnoverMs = rounds * typical.residualMs() / speed;
    double known = decay(nowMs - reportedMs, turnoverMs);
    int own = running.size();
    double expected = Math.max(0, averageRequests(nowMs) - own);
    double others = known * otherRequests + (1 - known) * expected;
    double requests = own + others;
    if (requests == 0) {
      return 0;
    }
    double workMs = ownWorkMs(nowMs) + others * typical.residualMs();
    double above = requests + 1 - slots;
    double uncertain = (1 - known) * expected; // variance of a Poisson distribution
    double ahead = (above + Math.sqrt(above * above + uncertain)) / 2;
    return Math.max(0, ahead) * workMs / requests / (slots * speed);
  }
}
