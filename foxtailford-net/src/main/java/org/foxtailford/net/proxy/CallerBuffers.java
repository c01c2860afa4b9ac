package org.foxtailford.net.proxy;

import org.foxtailford.core.overload.ByteBudget;

/**
 * Memory for what is buffered on behalf of all callers of this VM. Confined to the event loop.
 *
 * <p>The sizes fit a heap of 96 MB: all budgets together, with the overdraft that answers and what
 * is read ahead may reach, are 60 MB.
 */
public final class CallerBuffers {

  private static final long MAX_BODY_BYTES = 24 << 20;
  private static final long MAX_READ_AHEAD_BYTES = 2 << 20;
  private static final long MAX_ANSWER_BYTES = 16 << 20;

  /** Slow callers whose answers fit side by side while others wait for room. */
  private static final int ANSWER_SHARES = 16;

  /** Bytes that a part of an answer counts for in addition to its content. */
  static final int PART_OVERHEAD_BYTES = 256;

  private final ByteBudget bodies = new ByteBudget(MAX_BODY_BYTES, 1);
  private final ByteBudget readAhead = new ByteBudget(MAX_READ_AHEAD_BYTES, 1);
  private final ByteBudget answers = new ByteBudget(MAX_ANSWER_BYTES, ANSWER_SHARES);

  /** Returns the budget of request bodies that are buffered. */
  public ByteBudget bodies() {
    return bodies;
  }

  /** Returns the budget of bytes that were read from callers whose earlier requests go on. */
  ByteBudget readAhead() {
    return readAhead;
  }

  /** Returns the budget of answers that were read from upstreams and not yet sent to callers. */
  public ByteBudget answers() {
    return answers;
  }
}
