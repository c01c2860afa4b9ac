package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailford.schema.Arbiter;

/**
 * Decides by majorities of arbiters whether a leader may go on without the table.
 *
 * <p>An arbiter counts only as the process that the lease row names: one that restarted has
 * forgotten which fences it accepted. A process of the same name at another address tells nothing
 * of the one that the row names, which may still run.
 */
final class ArbiterQuorum {

  private ArbiterQuorum() {}

  /**
   * Returns the latest time such that a majority of each set accepted an order sent at or after it.
   * No later leader had closed such a set before that time.
   */
  static OptionalLong acceptedSince(
      Collection<List<Arbiter>> sets, Map<String, UpstreamSession> sessions) {
    long since = Long.MAX_VALUE;
    for (List<Arbiter> arbiters : sets) {
      long[] sentMs =
          arbiters.stream()
              .map(arbiter -> acceptedSentMs(arbiter, sessions))
              .flatMapToLong(OptionalLong::stream)
              .sorted()
              .toArray();
      int majority = arbiters.size() / 2 + 1;
      if (sentMs.length < majority) {
        return OptionalLong.empty();
      }
      since = Math.min(since, sentMs[sentMs.length - majority]);
    }
    return sets.isEmpty() ? OptionalLong.empty() : OptionalLong.of(since);
  }

  private static OptionalLong acceptedSentMs(
      Arbiter arbiter, Map<String, UpstreamSession> sessions) {
    UpstreamSession session = sessions.get(arbiter.getUpstream());
    boolean same = session != null && session.bootId() == arbiter.getBootId();
    return same ? session.acceptedSentMs() : OptionalLong.empty();
  }

  /** Tells whether a majority of a set can no longer accept orders of an earlier leader. */
  static boolean excludesEarlierLeaders(
      List<Arbiter> arbiters, Map<String, UpstreamSession> sessions) {
    long closed =
        arbiters.stream().filter(arbiter -> excludesEarlierLeaders(arbiter, sessions)).count();
    return arbiters.isEmpty() || closed > arbiters.size() / 2;
  }

  private static boolean excludesEarlierLeaders(
      Arbiter arbiter, Map<String, UpstreamSession> sessions) {
    UpstreamSession session = sessions.get(arbiter.getUpstream());
    if (session == null || session.bootId() == 0) {
      return false;
    }
    if (session.bootId() == arbiter.getBootId()) {
      return session.acceptedSentMs().isPresent();
    }
    return !arbiter.hasAddress() || arbiter.getAddress().equals(session.upstream().address());
  }
}
