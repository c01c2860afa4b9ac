package org.foxtailford.testkit.scenario;

import java.util.List;

/**
 * Something that fails for a time.
 *
 * @param atMs when it begins, from the start of the run, in milliseconds
 * @param forMs how long it lasts, in milliseconds
 * @param action what fails
 * @param targets names of nodes or data centres; {@code leader} stands for whoever leads at that
 *     time
 */
public record ScenarioFault(long atMs, long forMs, Action action, List<String> targets) {

  /** What can fail. */
  public enum Action {
    /** The process is lost and started again without memory at the end. */
    LOSE,
    /** The process stands still and goes on at the end. */
    PAUSE,
    /** No message passes between the first target and the others. */
    CUT,
    /** No message passes from the first target to the others. */
    CUT_ONE_WAY,
    /** The upstreams refuse new work because they leave; the VM list says so later. */
    DRAIN,
    /** The upstreams run requests much more slowly. */
    SLOW,
    /** Other users fill the slots of the upstreams, which shed what comes. */
    FILL,
    /** A caller sends a request, again and again, that crashes the upstream that runs it. */
    POISON,
    /** Two operators race each other with changes of labels. */
    RACE,
    /** Operators take the data centres out and bring them back at the end. */
    TAKE_OUT,
    /** Operators state that nothing runs in the data centres, and bring them back at the end. */
    STATE_LOSS,
    /** Messages are lost, delayed, repeated and reordered. */
    DISTURB
  }

  public ScenarioFault {
    targets = List.copyOf(targets);
  }
}
