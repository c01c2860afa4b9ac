package org.foxtailford.testkit.platform;

/**
 * What is wrong with the stand-in platform. Fields may be set from any thread.
 *
 * <p>An outage answers nothing at all; lost answers take effect first.
 */
public final class PlatformFaults {

  private volatile boolean outage;
  private volatile boolean losesWriteAnswers;

  public boolean isOutage() {
    return outage;
  }

  public void setOutage(boolean value) {
    outage = value;
  }

  public boolean losesWriteAnswers() {
    return losesWriteAnswers;
  }

  public void setLosesWriteAnswers(boolean value) {
    losesWriteAnswers = value;
  }
}
