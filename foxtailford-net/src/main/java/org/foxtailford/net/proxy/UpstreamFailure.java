package org.foxtailford.net.proxy;

/** Why a request got no whole answer from an upstream. */
public enum UpstreamFailure {
  /** Nothing listens there. */
  REFUSED(true),
  /** No connection in time, or none allowed; no byte of the request left. */
  NOT_CONNECTED(true),
  /** The connection was lost before the answer began. */
  LOST(false),
  /** The answer began and did not come to its end. */
  BROKEN_OFF(false),
  /** What came is no answer. */
  GARBLED(false);

  private final boolean notRun;

  UpstreamFailure(boolean notRun) {
    this.notRun = notRun;
  }

  /** Returns whether the request has surely not run and never will. */
  public boolean isNotRun() {
    return notRun;
  }
}
