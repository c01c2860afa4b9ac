package org.foxtailford.net.proxy;

/** Reason why an upstream's answer to a request is missing or incomplete. */
public enum UpstreamFailure {
  /** The connection was refused: nothing listens on the upstream's address. */
  REFUSED(true),
  /** No connection could be opened, or none in time; no byte of the request was sent. */
  NOT_CONNECTED(true),
  /** The caller had closed its connection by the time of the send; nothing was sent. */
  CALLER_LEFT(true),
  /** The request's time was up by the time of the send; nothing was sent. */
  TIME_UP(true),
  /** The connection was lost before the head of the answer was received. */
  LOST(false),
  /** The connection was lost after the head of the answer and before its end. */
  BROKEN_OFF(false),
  /** The received data is not a valid HTTP answer. */
  GARBLED(false),
  /** The parts of the body are not those of the announced one; the rest was not sent. */
  BODY_INCOMPLETE(false);

  private final boolean notRun;

  UpstreamFailure(boolean notRun) {
    this.notRun = notRun;
  }

  /** Returns whether the request was withheld, which says nothing about the upstream. */
  public boolean isWithheld() {
    return this == CALLER_LEFT || this == TIME_UP;
  }

  /** Returns whether it is certain that the request has not run and will not run. */
  public boolean isNotRun() {
    return notRun;
  }
}
