package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * What a leader knows within one epoch.
 *
 * <p>It outlasts a lapse of the lease: if the same epoch is renewed later, no other leader came in
 * between, and the fences that it issued must not be issued again.
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

  /** Returns the slices; owners change through {@link #assign} and {@link #release} alone. */
  SliceTable slices() {
    return slices;
  }

  Fence nextFence() {
    return new Fence(epoch, ++sequence);
  }

  /** Gives a slice to an upstream under a new fence. */
  void assign(SliceState state, String upstream) {
    assign(state, upstream, nextFence());
  }

  /** Gives a slice to an upstream under a fence that it already has. */
  void assign(SliceState state, String upstream, Fence fence) {
    slices.assign(state, new SliceAssignment(state.key().range(), upstream, fence));
    markChanged();
  }

  /**
   * Divides a slice that has an owner; the parts keep owner and fence, so requests under either
   * version of the owners are taken.
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

  /** Joins neighbouring slices of one owner under a new fence. */
  void merge(List<SliceState> parts, SliceRange whole) {
    String owner = parts.get(0).owner().orElseThrow();
    long freedMs = parts.stream().mapToLong(SliceState::freedMs).max().orElseThrow();
    slices.replace(parts, List.of(whole), freedMs).forEach(state -> assign(state, owner));
    listener.merged(parts.get(0).key().service());
  }

  /** Gives a slice to another upstream, its owner being known to hold it no more. */
  void move(SliceState state, String upstream, long nowMs) {
    release(state, nowMs);
    assign(state, upstream);
    listener.moved(state.key().service());
  }

  /** Takes a slice from its owner, who is known to hold it no more. */
  void release(SliceState state, long nowMs) {
    slices.free(state, nowMs);
    markChanged();
  }

  /** Takes all slices of an upstream that is known to hold none. */
  void releaseAll(String upstream, long nowMs) {
    slices.ownedBy(upstream).forEach(state -> release(state, nowMs));
  }

  /** Tells whether an upstream may receive slices: what it holds is known. */
  boolean isUsable(String upstream) {
    UpstreamSession session = sessions.get(upstream);
    return session != null && session.isFenced() && !session.isReplaced();
  }

  /** Returns when every earlier leader was excluded; empty before that. */
  OptionalLong activeSinceMs() {
    return activeSinceMs;
  }

  /** Notes that earlier leaders are excluded; what upstreams hold has to be read again. */
  void activate(long nowMs) {
    activeSinceMs = OptionalLong.of(nowMs);
    sessions.values().forEach(UpstreamSession::markLapsed);
  }

  void markChanged() {
    changed = true;
  }

  /** Tells whether there is something to publish, and takes it as published. */
  boolean getAndClearChanged() {
    boolean value = changed;
    changed = false;
    return value;
  }
}
