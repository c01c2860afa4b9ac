package org.foxtailford.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * What a leader knows within one epoch.
 *
 * <p>It outlasts a lapse of the lease: if the same epoch is renewed later, no other leader came in
 * between, and the fences that it issued must not be issued again.
 */
final class LeaderTerm {

  private final long epoch;
  private final long acquiredMs;
  private final Map<String, UpstreamSession> sessions = new TreeMap<>();
  private final Map<SliceKey, SliceState> slices = new HashMap<>();
  private OptionalLong closedMs = OptionalLong.empty();
  private long sequence;
  private boolean changed = true;

  /** Owner of a slice, or the reading of the clock from which it may be granted. */
  static final class SliceState {
    private Optional<SliceAssignment> assignment = Optional.empty();
    private Optional<String> nextOwner = Optional.empty();
    private boolean found;
    private boolean retiring;
    private long freedMs;

    Optional<SliceAssignment> assignment() {
      return assignment;
    }

    Optional<String> nextOwner() {
      return nextOwner;
    }

    void setNextOwner(String target) {
      nextOwner = Optional.of(target);
    }

    void assign(SliceAssignment value) {
      assignment = Optional.of(value);
      nextOwner = Optional.empty();
      found = true;
    }

    void free(long nowMs) {
      assignment = Optional.empty();
      nextOwner = Optional.empty();
      freedMs = nowMs;
    }

    /** Ends the assignment with the next grant of its owner. */
    void retire() {
      retiring = true;
    }

    /** Tells whether the owner is to give the slice up. */
    boolean leaving() {
      return retiring || nextOwner.isPresent();
    }

    /** Tells whether this leader had assigned or adopted the slice before. */
    boolean found() {
      return found;
    }

    /** Returns the reading of the clock at which the last owner was known to hold it no more. */
    long freedMs() {
      return freedMs;
    }

    Optional<String> effectiveOwner() {
      return nextOwner.or(() -> assignment.map(SliceAssignment::upstream));
    }

    boolean ownedBy(String upstream) {
      return assignment.filter(a -> a.upstream().equals(upstream)).isPresent();
    }
  }

  LeaderTerm(long epoch, long acquiredMs) {
    this.epoch = epoch;
    this.acquiredMs = acquiredMs;
  }

  long epoch() {
    return epoch;
  }

  long acquiredMs() {
    return acquiredMs;
  }

  Map<String, UpstreamSession> sessions() {
    return sessions;
  }

  Map<SliceKey, SliceState> slices() {
    return slices;
  }

  Fence nextFence() {
    return new Fence(epoch, ++sequence);
  }

  /** Returns when every earlier leader was excluded; empty before that. */
  OptionalLong closedMs() {
    return closedMs;
  }

  /** Notes that earlier leaders are excluded; what upstreams hold has to be read again. */
  void close(long nowMs) {
    closedMs = OptionalLong.of(nowMs);
    sessions.values().forEach(UpstreamSession::noteLapsed);
  }

  void markChanged() {
    changed = true;
  }

  /** Tells whether there is something to publish, and takes it as published. */
  boolean takeChanged() {
    boolean value = changed;
    changed = false;
    return value;
  }
}
