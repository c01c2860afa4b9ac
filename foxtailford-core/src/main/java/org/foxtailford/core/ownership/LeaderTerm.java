package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * State of a leader within one epoch.
 *
 * <p>It outlives a lapse of the lease: if the same epoch is renewed later, no other leader has led
 * in between, and the fences issued so far must not be issued again. Not thread-safe.
 */
final class LeaderTerm {

  private final long epoch;
  private final long acquiredMs;
  private final OwnershipListener listener;
  private final Map<String, UpstreamSession> sessions = new TreeMap<>();
  private final SliceTable slices = new SliceTable();
  private OptionalLong activeSinceMs = OptionalLong.empty();
  private long sequence;
  private boolean changed = true;

  LeaderTerm(long epoch, long acquiredMs, OwnershipListener listener) {
    this.epoch = epoch;
    this.acquiredMs = acquiredMs;
    this.listener = Assert.notNull(listener, "listener");
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

  /**
   * Returns the slices. Their owners must be changed only through {@link #assign} and {@link
   * #release}, which mark the term as changed.
   */
  SliceTable slices() {
    return slices;
  }

  Fence nextFence() {
    return new Fence(epoch, ++sequence);
  }

  /** Assigns a slice to an upstream under a new fence. */
  void assign(SliceState state, String upstream) {
    assign(state, upstream, nextFence());
  }

  /** Assigns a slice to an upstream that already holds it under a fence. */
  void assign(SliceState state, String upstream, Fence fence) {
    slices.assign(state, new SliceAssignment(state.key().range(), upstream, fence));
    markChanged();
  }

  /**
   * Splits a slice that has an owner. The parts keep owner and fence, so that requests routed by
   * the owners before or after the split are both accepted.
   *
   * @return the parts
   */
  List<SliceState> split(SliceState state, List<SliceRange> ranges) {
    SliceAssignment whole = state.assignment().orElseThrow();
    List<SliceState> parts = slices.replace(List.of(state), ranges, state.freedMs());
    parts.forEach(part -> assign(part, whole.upstream(), whole.fence()));
    listener.split(state.key().service());
    return parts;
  }

  /** Merges adjacent slices of one owner under a new fence. */
  void merge(List<SliceState> parts, SliceRange whole) {
    String owner = parts.get(0).owner().orElseThrow();
    long freedMs = parts.stream().mapToLong(SliceState::freedMs).max().orElseThrow();
    slices.replace(parts, List.of(whole), freedMs).forEach(state -> assign(state, owner));
    listener.merged(parts.get(0).key().service());
  }

  /**
   * Moves a slice to another upstream. The caller must know that the current owner no longer holds
   * it.
   */
  void move(SliceState state, String upstream, long nowMs) {
    release(state, nowMs);
    assign(state, upstream);
    listener.moved(state.key().service());
  }

  /** Clears the owner of a slice. The caller must know that the owner no longer holds it. */
  void release(SliceState state, long nowMs) {
    slices.free(state, nowMs);
    markChanged();
  }

  /** Clears the owner of all slices of an upstream that is known to hold none. */
  void releaseAll(String upstream, long nowMs) {
    slices.ownedBy(upstream).forEach(state -> release(state, nowMs));
  }

  /**
   * Returns whether an upstream may receive slices: the ones that it holds are known, and its
   * address is current.
   */
  boolean isUsable(String upstream) {
    UpstreamSession session = sessions.get(upstream);
    return session != null && session.isFenced() && !session.isReplaced();
  }

  /** Returns the time at which every earlier leader was known to be excluded; empty before that. */
  OptionalLong activeSinceMs() {
    return activeSinceMs;
  }

  /**
   * Records that every earlier leader is excluded. What upstreams hold has to be read again, since
   * an earlier leader may have changed it since the last reading.
   */
  void activate(long nowMs) {
    activeSinceMs = OptionalLong.of(nowMs);
    sessions.values().forEach(UpstreamSession::markLapsed);
  }

  void markChanged() {
    changed = true;
  }

  /** Returns whether there are changes to publish, and regards them as published. */
  boolean getAndClearChanged() {
    boolean value = changed;
    changed = false;
    return value;
  }
}
