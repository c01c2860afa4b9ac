package org.foxtailford.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Header fields between entry VMs, of a request that one of them has another one serve. They reach
 * neither upstreams nor callers.
 */
final class RelayHeaders {

  /** Number of upstreams that the request may have reached so far; marks a relayed request. */
  private static final String ATTEMPTS = "Foxtailford-Relayed-After";

  /** Largest number that is believed, above what any route allows. */
  private static final int MAX_ATTEMPTS = 1 << 16;

  /** States in an answer that the request has not run and will not run. */
  private static final String NOT_RUN = "Foxtailford-Not-Run";

  /** States in a refusal that no upstream has received the request, not even to reject it. */
  private static final String UNREACHED = "Foxtailford-Unreached";

  /** States in a refusal that the VM reaches no upstream. */
  private static final String CUT_OFF = "Foxtailford-Cut-Off";

  /** Version of the configuration that decided a request, or its answer. */
  private static final String VERSION = "Foxtailford-Configuration";

  /**
   * What an entry VM states in an answer to another one.
   *
   * @param notRun whether the request has not run and will not run
   * @param unreached whether no upstream has received it; false from a VM of an earlier build
   * @param cutOff whether the VM reaches no upstream; false from a VM of an earlier build
   * @param version version of the configuration that decided the request, if it is stated
   */
  record AnswerMarks(boolean notRun, boolean unreached, boolean cutOff, OptionalLong version) {}

  private RelayHeaders() {}

  /** Removes the marks from an answer and returns them; only those of an entry VM are true. */
  static AnswerMarks takeFrom(HttpHeaders headers) {
    AnswerMarks marks =
        new AnswerMarks(
            headers.contains(NOT_RUN),
            headers.contains(UNREACHED),
            headers.contains(CUT_OFF),
            version(headers));
    removeFrom(headers);
    return marks;
  }

  /** States the version of the configuration that decided a request, or its answer. */
  static void setVersion(HttpHeaders headers, long version) {
    headers.set(VERSION, version);
  }

  /** Returns the stated version; empty if there is none, as from a VM of an earlier build. */
  static OptionalLong version(HttpHeaders headers) {
    try {
      return headers.contains(VERSION)
          ? OptionalLong.of(Long.parseLong(headers.get(VERSION)))
          : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Marks a request as relayed. */
  static void setAttempts(HttpHeaders headers, int attempts) {
    headers.set(ATTEMPTS, attempts);
  }

  /** Returns the number of upstreams that a relayed request may have reached; empty for others. */
  static OptionalInt attempts(HttpHeaders headers) {
    if (!headers.contains(ATTEMPTS)) {
      return OptionalInt.empty();
    }
    int stated = headers.getInt(ATTEMPTS, 0); // by anyone, since callers use the same port
    return OptionalInt.of(Math.max(0, Math.min(stated, MAX_ATTEMPTS)));
  }

  /**
   * States in an answer that the request has not run and will not run.
   *
   * @param reached whether an upstream has received it, and rejected it
   */
  static void setNotRun(HttpHeaders headers, boolean reached) {
    headers.set(NOT_RUN, "1");
    if (!reached) {
      headers.set(UNREACHED, "1");
    }
  }

  static void setCutOff(HttpHeaders headers) {
    headers.set(CUT_OFF, "1");
  }

  static void removeFrom(HttpHeaders headers) {
    headers.remove(ATTEMPTS).remove(NOT_RUN).remove(UNREACHED).remove(CUT_OFF).remove(VERSION);
  }
}
