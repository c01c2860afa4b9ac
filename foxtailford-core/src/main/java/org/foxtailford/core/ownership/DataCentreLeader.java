package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.GrantedSlice;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;
import org.jspecify.annotations.Nullable;

/**
 * Assigns the slices of one data centre to its upstreams while this VM holds the leader's lease.
 *
 * <p>A slice changes owner only after the old owner accepted a grant without it, restarted, or can
 * no longer hold an unexpired grant. On taking over, the leader raises the fence at each upstream
 * and adopts what it holds; a slice that no reachable upstream holds stays free until every grant
 * of an earlier leader has lapsed.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class DataCentreLeader {

  private final String dataCentre;
  private final LeaseElection election;
  private final OwnershipTiming timing;
  private final UpstreamGrants grants;
  private final PlacementPolicy policy;
  private final OwnershipPublisher publisher;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomeDirectory> homes;
  private final MillisClock clock;
  private final Executor control;

  private @Nullable Term term;

  /**
   * State of one epoch. It outlasts a lapse of the lease: if the same epoch is renewed later, no
   * other leader came in between, and the fences that it issued must not be issued again.
   */
  private static final class Term {
    private final long epoch;
    private final long acquiredMs;
    private long sequence;
    private boolean changed = true;
    private final Map<String, UpstreamSession> sessions = new TreeMap<>();
    private final Map<SliceKey, SliceState> slices = new HashMap<>();

    Term(long epoch, long acquiredMs) {
      this.epoch = epoch;
      this.acquiredMs = acquiredMs;
    }

    Fence nextFence() {
      return new Fence(epoch, ++sequence);
    }
  }

  /** Owner of a slice, or the reading of the clock from which it may be granted. */
  private static final class SliceState {
    private Optional<SliceAssignment> assignment = Optional.empty();
    private Optional<String> nextOwner = Optional.empty();
    private long freeFromMs;
  }

  public DataCentreLeader(
      String dataCentre,
      LeaseElection election,
      OwnershipTiming timing,
      UpstreamGrants grants,
      PlacementPolicy policy,
      OwnershipPublisher publisher,
      Supplier<ConfigurationView> configuration,
      Supplier<HomeDirectory> homes,
      MillisClock clock,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.election = Assert.notNull(election, "election");
    this.timing = Assert.notNull(timing, "timing");
    this.grants = Assert.notNull(grants, "grants");
    this.policy = Assert.notNull(policy, "policy");
    this.publisher = Assert.notNull(publisher, "publisher");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /** Runs one round. Called at every renewal interval. */
  public void tick() {
    Optional<HeldLease> lease = election.lease();
    if (lease.isEmpty()) {
      return;
    }
    Term current = term;
    if (current == null || current.epoch != lease.get().epoch()) {
      current = new Term(lease.get().epoch(), lease.get().acquiredMs());
      term = current;
    }
    refreshSessions(current);
    freeLapsedSlices(current);
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .forEach(service -> place(term, service));
    current.sessions.values().forEach(this::exchange);
    publishIfChanged(current);
  }

  /** Tells whether this VM leads its data centre at this moment. */
  public boolean leads() {
    return term != null && election.lease().isPresent();
  }

  private void refreshSessions(Term current) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .flatMap(service -> service.upstreams().stream())
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .forEach(
            upstream ->
                current
                    .sessions
                    .computeIfAbsent(upstream.name(), name -> new UpstreamSession(upstream))
                    .refresh(upstream));
  }

  private void freeLapsedSlices(Term current) {
    long answeredAfterMs = clock.nowMs() - timing.lapsedGrantMs();
    for (UpstreamSession session : current.sessions.values()) {
      if (!session.answeredSince(answeredAfterMs)) {
        session.noteLapsed();
        freeAll(current, session.upstream().name());
      }
    }
  }

  private void freeAll(Term current, String upstream) {
    for (SliceState state : current.slices.values()) {
      if (state.assignment.filter(a -> a.upstream().equals(upstream)).isPresent()) {
        release(current, state);
      }
    }
  }

  private void release(Term current, SliceState state) {
    state.assignment = Optional.empty();
    state.nextOwner = Optional.empty();
    current.changed = true;
  }

  private void place(Term current, ServiceView service) {
    String name = service.definition().getName();
    List<SliceKey> keys = localSlices(service);
    long defaultFreeFromMs = current.acquiredMs + timing.lapsedGrantMs();
    List<PlacedSlice> placed = new ArrayList<>();
    for (SliceKey key : keys) {
      SliceState state = current.slices.computeIfAbsent(key, k -> newSlice(defaultFreeFromMs));
      boolean free = state.assignment.isEmpty();
      if (!free || clock.nowMs() >= state.freeFromMs) {
        placed.add(new PlacedSlice(key.range(), effectiveOwner(state), 0));
      }
    }
    List<String> usable =
        service.availableIn(dataCentre).stream()
            .map(Upstream::name)
            .filter(upstream -> isUsable(current, upstream))
            .toList();
    for (SliceMove move : policy.plan(placed, usable)) {
      apply(current, new SliceKey(name, move.range()), move.target());
    }
  }

  private static Optional<String> effectiveOwner(SliceState state) {
    return state.nextOwner.or(() -> state.assignment.map(SliceAssignment::upstream));
  }

  private static SliceState newSlice(long freeFromMs) {
    SliceState state = new SliceState();
    state.freeFromMs = freeFromMs;
    return state;
  }

  private static boolean isUsable(Term current, String upstream) {
    UpstreamSession session = current.sessions.get(upstream);
    return session != null && session.fenced();
  }

  private List<SliceKey> localSlices(ServiceView service) {
    String name = service.definition().getName();
    return SliceRange.divide(service.definition().getInitialSlices()).stream()
        .filter(range -> homes.get().isHome(dataCentre, name, range))
        .map(range -> new SliceKey(name, range))
        .toList();
  }

  private void apply(Term current, SliceKey key, String target) {
    SliceState state = current.slices.get(key);
    if (state == null) {
      return;
    }
    if (state.assignment.isPresent()) {
      state.nextOwner = Optional.of(target);
      return;
    }
    assign(current, key, state, target);
  }

  private void assign(Term current, SliceKey key, SliceState state, String target) {
    state.assignment = Optional.of(new SliceAssignment(key.range(), target, current.nextFence()));
    state.nextOwner = Optional.empty();
    current.changed = true;
  }

  private void exchange(UpstreamSession session) {
    Term current = term;
    if (session.inFlight() || current == null || election.lease().isEmpty()) {
      return;
    }
    session.setInFlight(true);
    if (session.bootId() == 0) {
      grants
          .status(session.upstream())
          .whenCompleteAsync((reply, failure) -> onStatus(current, session, reply), control);
      return;
    }
    boolean fenceOnly = !session.fenced();
    List<GrantedSlice> wanted = fenceOnly ? List.of() : wantedSlices(current, session);
    GrantRequest request =
        GrantRequest.newBuilder()
            .setBootId(session.bootId())
            .setFence(current.nextFence().toValue())
            .setAsOfMs(session.asOfMs())
            .setTtlMs(timing.grantTtlMs())
            .setFenceOnly(fenceOnly)
            .addAllSlices(wanted)
            .build();
    grants
        .grant(session.upstream(), request)
        .whenCompleteAsync(
            (reply, failure) -> onGrantReply(current, session, request, reply), control);
  }

  private List<GrantedSlice> wantedSlices(Term current, UpstreamSession session) {
    List<GrantedSlice> wanted = new ArrayList<>();
    current.slices.forEach(
        (key, state) ->
            state
                .assignment
                .filter(a -> a.upstream().equals(session.upstream().name()))
                .filter(a -> state.nextOwner.isEmpty())
                .ifPresent(a -> wanted.add(granted(key, a))));
    return wanted;
  }

  private static GrantedSlice granted(SliceKey key, SliceAssignment assignment) {
    return GrantedSlice.newBuilder()
        .setService(key.service())
        .setRange(key.range().toValue())
        .setFence(assignment.fence().toValue())
        .build();
  }

  private void onStatus(Term current, UpstreamSession session, @Nullable GrantReply reply) {
    session.setInFlight(false);
    if (reply != null && current == term) {
      session.noteBoot(reply, clock.nowMs());
    }
  }

  private void onGrantReply(
      Term current, UpstreamSession session, GrantRequest request, @Nullable GrantReply reply) {
    session.setInFlight(false);
    if (reply == null || current != term) {
      return;
    }
    boolean restarted = reply.getBootId() != request.getBootId();
    session.noteBoot(reply, clock.nowMs());
    if (restarted) {
      freeAll(current, session.upstream().name());
    }
    if (!reply.getAccepted()) {
      return;
    }
    Set<SliceKey> held =
        reply.getSlicesList().stream().map(SliceKey::of).collect(Collectors.toSet());
    session.noteAccepted(held);
    if (request.getFenceOnly()) {
      adopt(current, session, reply);
    } else {
      finishReleases(current, session);
    }
  }

  private void adopt(Term current, UpstreamSession session, GrantReply reply) {
    if (reply.getRemainingMs() == 0) {
      return;
    }
    for (GrantedSlice slice : reply.getSlicesList()) {
      SliceState state = current.slices.get(SliceKey.of(slice));
      if (state != null && state.assignment.isEmpty()) {
        SliceRange range = SliceRange.of(slice.getRange());
        Fence fence = Fence.of(slice.getFence());
        state.assignment =
            Optional.of(new SliceAssignment(range, session.upstream().name(), fence));
        current.changed = true;
      }
    }
  }

  private void finishReleases(Term current, UpstreamSession session) {
    String name = session.upstream().name();
    Map<SliceKey, String> released = new HashMap<>();
    current.slices.forEach(
        (key, state) -> {
          boolean ours = state.assignment.filter(a -> a.upstream().equals(name)).isPresent();
          if (ours && state.nextOwner.isPresent() && !session.holds(key)) {
            released.put(key, state.nextOwner.get());
          }
        });
    released.forEach((key, target) -> moveReleased(current, key, target));
  }

  private void moveReleased(Term current, SliceKey key, String target) {
    SliceState state = current.slices.get(key);
    release(current, state);
    if (isUsable(current, target)) {
      assign(current, key, state, target);
    }
  }

  private void publishIfChanged(Term current) {
    if (!current.changed) {
      return;
    }
    current.changed = false;
    Fence version = current.nextFence();
    OwnershipCheckpoint.Builder checkpoint =
        OwnershipCheckpoint.newBuilder()
            .setDataCentre(dataCentre)
            .setEpoch(version.epoch())
            .setSequence(version.sequence());
    assignmentsByService(current).forEach((name, slices) -> checkpoint.addServices(slices));
    publisher.publish(checkpoint.build());
  }

  private static Map<String, ServiceAssignment> assignmentsByService(Term current) {
    Map<String, ServiceAssignment> byService = new TreeMap<>();
    Set<String> names = new HashSet<>();
    current.slices.keySet().forEach(key -> names.add(key.service()));
    for (String name : names) {
      ServiceAssignment.Builder builder = ServiceAssignment.newBuilder().setService(name);
      current.slices.entrySet().stream()
          .filter(entry -> entry.getKey().service().equals(name))
          .sorted(Comparator.comparing(entry -> entry.getKey().range()))
          .flatMap(entry -> entry.getValue().assignment.stream())
          .forEach(assignment -> builder.addSlices(assignment.toValue()));
      byService.put(name, builder.build());
    }
    return byService;
  }
}
