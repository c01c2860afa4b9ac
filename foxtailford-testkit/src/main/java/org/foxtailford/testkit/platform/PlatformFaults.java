package org.foxtailford.testkit.platform;

/**
 * Faults that the stand-in platform simulates. Thread-safe.
 *
 * <p>During an outage, calls take no effect and get no answer. If write answers are lost, writes
 * take effect but get no answer.
 */
public final class PlatformFaults {

  private volatile boolean outage;
  private volatile boolean losesWriteAnswers;

  /** Returns whether no call is processed or answered. */
  public boolean isOutage() {
    return outage;
  }

  /** Starts or ends an outage. */
  public void setOutage(boolean value) {
    outage = value;
  }

  /** Returns whether writes take effect without an answer. */
  public boolean losesWriteAnswers() {
    return losesWriteAnswers;
  }

  /** Sets whether writes take effect without an answer. */
  public void setLosesWriteAnswers(boolean value) {
    losesWriteAnswers = value;
  }
}
