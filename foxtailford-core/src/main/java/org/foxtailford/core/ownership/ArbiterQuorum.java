package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailford.schema.Arbiter;

/**
 * Determines from majorities of arbiters whether a leader may continue without the table, and
 * whether earlier leaders are excluded.
 *
 * <p>An arbiter's acceptance counts only for the incarnation that the lease row names, since a
 * restarted process no longer knows which fences it accepted. A process of the same name at another
 * address says nothing about the one in the row, which may still be running.
 */
final class ArbiterQuorum {

  private ArbiterQuorum() {}

  /**
   * Returns the latest time such that a majority of each set accepted a request that this leader
   * sent at or after it. Before that time no later leader had excluded this one from a majority of
   * any of the sets.
   *
   * @param sets every set of arbiters that the lease row may name
   * @param sessions sessions of the leader by upstream name
   * @return the time on this VM's clock in milliseconds; empty if there are no sets or one of them
   *     has no majority
   */
  static OptionalLong acceptedSince(
      Collection<List<Arbiter>> sets, Map<String, UpstreamSession> sessions) {
    long acceptedSinceMs = Long.MAX_VALUE;
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
      acceptedSinceMs = Math.min(acceptedSinceMs, sentMs[sentMs.length - majority]);
    }
    return sets.isEmpty() ? OptionalLong.empty() : OptionalLong.of(acceptedSinceMs);
  }

  private static OptionalLong acceptedSentMs(
      Arbiter arbiter, Map<String, UpstreamSession> sessions) {
    UpstreamSession session = sessions.get(arbiter.getUpstream());
    boolean sameIncarnation = session != null && session.bootId() == arbiter.getBootId();
    return sameIncarnation ? session.acceptedSentMs() : OptionalLong.empty();
  }

  /**
   * Returns whether a majority of a set can no longer accept requests from an earlier leader; true
   * if the set is empty.
   */
  static boolean excludesEarlierLeaders(
      List<Arbiter> arbiters, Map<String, UpstreamSession> sessions) {
    long excluding =
        arbiters.stream().filter(arbiter -> excludesEarlierLeaders(arbiter, sessions)).count();
    return arbiters.isEmpty() || excluding > arbiters.size() / 2;
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
