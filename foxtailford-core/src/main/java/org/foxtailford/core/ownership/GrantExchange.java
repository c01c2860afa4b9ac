package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.GrantedSlice;
import org.jspecify.annotations.Nullable;

/**
 * Sends the grant requests of a term to upstreams and applies their replies to the term.
 *
 * <p>After an upstream has accepted the first fence of a term, the slices that it holds are read
 * and adopted. Each later request lists all slices that the upstream is to hold. Not thread-safe:
 * all calls and callbacks run on one executor.
 */
final class GrantExchange {

  private final LeaderAuthority authority;
  private final OwnershipTiming timing;
  private final UpstreamGrants grants;
  private final Supplier<Optional<LeaderTerm>> currentTerm;
  private final OwnershipListener listener;
  private final MillisClock clock;
  private final Executor control;

  /**
   * Creates an exchange.
   *
   * @param authority determines up to which time grants may be extended
   * @param timing TTLs of leases and grants
   * @param grants client of the upstreams' grant interface
   * @param currentTerm returns the term whose replies still count, if any
   * @param listener notified of accepted and refused requests
   * @param clock clock of this VM
   * @param control executor of all callbacks
   */
  GrantExchange(
      LeaderAuthority authority,
      OwnershipTiming timing,
      UpstreamGrants grants,
      Supplier<Optional<LeaderTerm>> currentTerm,
      OwnershipListener listener,
      MillisClock clock,
      Executor control) {
    this.authority = Assert.notNull(authority, "authority");
    this.timing = Assert.notNull(timing, "timing");
    this.grants = Assert.notNull(grants, "grants");
    this.currentTerm = Assert.notNull(currentTerm, "currentTerm");
    this.listener = Assert.notNull(listener, "listener");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /** Sends the next request to an upstream unless a reply from it is pending. */
  void sendNext(LeaderTerm term, UpstreamSession session) {
    if (session.isRequestInFlight()
        || session.isReplaced()
        || !isCurrent(term)
        || !authority.isUnsuperseded(term)) {
      return;
    }
    session.setRequestInFlight(true);
    if (session.bootId() == 0) {
      grants
          .status(session.upstream())
          .whenCompleteAsync((reply, failure) -> onStatus(term, session, reply), control);
      return;
    }
    GrantRequest request = request(term, session);
    long sentMs = clock.nowMs();
    grants
        .grant(session.upstream(), request)
        .whenCompleteAsync(
            (reply, failure) -> onGrantReply(term, session, request, sentMs, reply), control);
  }

  private boolean isCurrent(LeaderTerm term) {
    return currentTerm.get().filter(current -> current == term).isPresent();
  }

  private boolean isCurrent(LeaderTerm term, UpstreamSession session) {
    return isCurrent(term) && term.sessions().get(session.upstream().name()) == session;
  }

  private GrantRequest request(LeaderTerm term, UpstreamSession session) {
    long ttlMs = grantTtlMs(term, session);
    boolean fenceOnly = !session.isFenced() || ttlMs <= 0;
    GrantRequest.Builder request =
        GrantRequest.newBuilder()
            .setBootId(session.bootId())
            .setFence(term.nextFence().toValue())
            .setAsOfMs(session.upstreamClockMs())
            .setFenceOnly(fenceOnly);
    if (!fenceOnly) {
      request.setTtlMs((int) ttlMs).addAllSlices(slicesToGrant(term, session));
    }
    return request.build();
  }

  /**
   * Returns the TTL with which a grant ends no later than the authority behind it, in milliseconds;
   * zero or negative if nothing may be granted.
   */
  private long grantTtlMs(LeaderTerm term, UpstreamSession session) {
    OptionalLong confirmedAtMs = authority.confirmedAtMs(term);
    if (confirmedAtMs.isEmpty()) {
      return 0;
    }
    long confirmationAgeMs = Math.max(0, session.lastReplyMs() - confirmedAtMs.getAsLong());
    return timing.grantTtlMs() - confirmationAgeMs;
  }

  private List<GrantedSlice> slicesToGrant(LeaderTerm term, UpstreamSession session) {
    long confirmedAtMs = authority.confirmedAtMs(term).orElseThrow();
    return term.slices().ownedBy(session.upstream().name()).stream()
        .filter(state -> !state.isReleasePending())
        .filter(state -> state.freedMs() <= confirmedAtMs)
        .map(GrantExchange::toGrantedSlice)
        .toList();
  }

  private static GrantedSlice toGrantedSlice(SliceState state) {
    return GrantedSlice.newBuilder()
        .setService(state.key().service())
        .setRange(state.key().range().toValue())
        .setFence(state.assignment().orElseThrow().fence().toValue())
        .build();
  }

  private void onStatus(LeaderTerm term, UpstreamSession session, @Nullable GrantReply reply) {
    session.setRequestInFlight(false);
    if (reply != null && isCurrent(term, session)) {
      session.recordReply(reply, clock.nowMs());
      sendNext(term, session);
    }
  }

  private void onGrantReply(
      LeaderTerm term,
      UpstreamSession session,
      GrantRequest request,
      long sentMs,
      @Nullable GrantReply reply) {
    session.setRequestInFlight(false);
    if (reply == null || !isCurrent(term, session)) {
      return;
    }
    boolean restarted = reply.getBootId() != request.getBootId();
    session.recordReply(reply, clock.nowMs());
    if (restarted) {
      term.releaseAll(session.upstream().name(), clock.nowMs());
    }
    if (!reply.getAccepted()) {
      listener.grantRefused();
      return;
    }
    listener.granted();
    session.recordRequestAccepted(sentMs);
    boolean readAfterActivation =
        term.activeSinceMs().isPresent() && sentMs >= term.activeSinceMs().getAsLong();
    if (!readAfterActivation) {
      continueActivation(term);
      return;
    }
    session.recordHeldSlices(
        reply.getSlicesList().stream().map(SliceKey::of).collect(Collectors.toSet()));
    if (request.getFenceOnly()) {
      adopt(term, session, reply);
    } else {
      finishReleases(term, session);
    }
  }

  /**
   * Activates the term if possible, and then sends the next requests without waiting for the next
   * round, since the grants of an earlier leader expire meanwhile.
   */
  private void continueActivation(LeaderTerm term) {
    authority.activateIfPredecessorsExcluded(term);
    if (term.activeSinceMs().isPresent()) {
      term.sessions().values().stream()
          .filter(session -> !session.isFenced())
          .forEach(session -> sendNext(term, session));
    }
  }

  private void adopt(LeaderTerm term, UpstreamSession session, GrantReply reply) {
    String upstream = session.upstream().name();
    for (GrantedSlice slice : reply.getSlicesList()) {
      SliceKey key = SliceKey.of(slice);
      Fence fence = Fence.of(slice.getFence());
      if (reply.getRemainingMs() == 0) {
        recordLapsed(term, key, new SliceAssignment(key.range(), upstream, fence));
      } else {
        adopt(term, upstream, key, fence);
      }
    }
    if (reply.getRemainingMs() > 0) {
      sendNext(term, session);
    }
  }

  /**
   * Adds a slice whose grant lapsed, as it was, unless a later owner of one of its keys is known.
   */
  private void recordLapsed(LeaderTerm term, SliceKey key, SliceAssignment assignment) {
    List<SliceState> others = term.slices().overlapping(key.service(), key.range());
    boolean hasLaterOwner =
        others.stream()
            .anyMatch(
                other -> other.wasAssigned() || isLater(other.lapsedAssignment(), assignment));
    if (!hasLaterOwner) {
      others.forEach(term.slices()::remove);
      term.slices().add(key, clock.nowMs()).setLapsedAssignment(assignment);
    }
  }

  private static boolean isLater(Optional<SliceAssignment> known, SliceAssignment assignment) {
    return known.filter(k -> k.fence().compareTo(assignment.fence()) >= 0).isPresent();
  }

  /**
   * Adopts a slice in place of overlapping ones that this leader has never assigned. If one of them
   * was assigned, the slice is not adopted: the other owner has to release its slice first.
   */
  private void adopt(LeaderTerm term, String upstream, SliceKey key, Fence fence) {
    List<SliceState> others = term.slices().overlapping(key.service(), key.range());
    if (others.stream().anyMatch(SliceState::wasAssigned)) {
      return;
    }
    others.forEach(term.slices()::remove);
    term.assign(term.slices().add(key, 0), upstream, fence);
  }

  private void finishReleases(LeaderTerm term, UpstreamSession session) {
    for (SliceState state : term.slices().ownedBy(session.upstream().name())) {
      if (state.isReleasePending() && !session.holds(state.key())) {
        state
            .nextOwner()
            .filter(term::isUsable)
            .ifPresentOrElse(
                next -> term.move(state, next, clock.nowMs()),
                () -> term.release(state, clock.nowMs()));
      }
    }
  }
}
