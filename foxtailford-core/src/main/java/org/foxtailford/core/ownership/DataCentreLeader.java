package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.LeaderTerm.SliceState;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Arbiter;
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
 * <p>A leader whose lease lapsed because the table is down goes on while a majority of the arbiters
 * that its row names accepts its fences. Its grants end with the proof of that majority. A new
 * leader extends nothing before it excluded the earlier one at a majority of those arbiters, and
 * adopts only what it reads after that.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class DataCentreLeader {

  private static final int MAX_ARBITERS = 5;

  private final String dataCentre;
  private final LeaseElection election;
  private final OwnershipTiming timing;
  private final UpstreamGrants grants;
  private final PlacementPolicy policy;
  private final OwnershipPublisher publisher;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomesReading> homes;
  private final MillisClock clock;
  private final Executor control;

  private @Nullable LeaderTerm term;

  public DataCentreLeader(
      String dataCentre,
      LeaseElection election,
      OwnershipTiming timing,
      UpstreamGrants grants,
      PlacementPolicy policy,
      OwnershipPublisher publisher,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesReading> homes,
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
    election.addAcquiredListener(this::tick);
  }

  /** Runs one round. Called at every renewal interval. */
  public void tick() {
    Optional<HeldLease> lease = election.unsuperseded();
    if (lease.isEmpty() || !mayContinue(lease.get())) {
      return;
    }
    LeaderTerm current = term;
    if (current == null || current.epoch() != lease.get().epoch()) {
      current = new LeaderTerm(lease.get().epoch(), lease.get().acquiredMs());
      term = current;
    }
    refreshSessions(current);
    freeLapsedSlices(current);
    closeIfExcluded(current);
    boolean mayPlace = current.closedMs().isPresent() && knowsHomes(current);
    if (mayPlace && authorityMs(current).isPresent()) {
      placeAll(current);
    }
    current.sessions().values().forEach(this::exchange);
    publishIfChanged(current);
  }

  /** Homes read before the term may lack a move that an earlier leader completed. */
  private boolean knowsHomes(LeaderTerm current) {
    return homes.get().asOfMs() >= current.acquiredMs();
  }

  private boolean mayPlace(LeaderTerm current, String service) {
    return homes.get().directory().mayPlace(service, dataCentre, current.epoch());
  }

  private void placeAll(LeaderTerm current) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .filter(service -> mayPlace(current, service.definition().getName()))
        .forEach(service -> place(current, service));
    proposeArbiters(current);
  }

  /** Returns the epoch under which this VM leads its data centre at this moment. */
  public OptionalLong leadingEpoch() {
    LeaderTerm current = term;
    return current != null && leads() ? OptionalLong.of(current.epoch()) : OptionalLong.empty();
  }

  /** Tells whether this VM leads its data centre at this moment. */
  public boolean leads() {
    LeaderTerm current = term;
    return current != null
        && election.unsuperseded().filter(lease -> lease.epoch() == current.epoch()).isPresent()
        && authorityMs(current).isPresent();
  }

  /**
   * Tells whether no upstream of this data centre can hold a key of a range any more, and none will
   * receive one by the homes that this leader sees.
   */
  public boolean released(String service, SliceRange range) {
    LeaderTerm current = term;
    if (current == null
        || current.closedMs().isEmpty()
        || !knowsHomes(current)
        || !mayPlace(current, service)
        || election.lease().filter(lease -> lease.epoch() == current.epoch()).isEmpty()) {
      return false;
    }
    boolean lapsed = clock.nowMs() >= current.closedMs().getAsLong() + timing.lapsedGrantMs();
    boolean planned =
        configuration.get().service(service).stream()
            .flatMap(view -> localSlices(view).stream())
            .anyMatch(key -> key.range().overlaps(range));
    boolean held =
        current.slices().entrySet().stream()
            .filter(entry -> entry.getKey().service().equals(service))
            .filter(entry -> entry.getKey().range().overlaps(range))
            .anyMatch(entry -> entry.getValue().assignment().isPresent());
    return lapsed && !planned && !held;
  }

  private boolean mayContinue(HeldLease lease) {
    long lapsedMs = clock.nowMs() - lease.validUntilMs();
    return lapsedMs < 0 || lapsedMs < timing.holdWithoutTableMs();
  }

  /** Returns a time at which no later leader had taken over; grants count from it. */
  private OptionalLong authorityMs(LeaderTerm current) {
    long nowMs = clock.nowMs();
    if (election.lease().isPresent()) {
      return OptionalLong.of(nowMs);
    }
    Optional<HeldLease> lease = election.unsuperseded();
    if (lease.isEmpty() || !mayContinue(lease.get())) {
      return OptionalLong.empty();
    }
    OptionalLong since =
        ArbiterQuorum.acceptedSince(election.possibleArbiters(), current.sessions());
    boolean recent = since.isPresent() && nowMs - since.getAsLong() < timing.grantTtlMs();
    return recent ? since : OptionalLong.empty();
  }

  private void refreshSessions(LeaderTerm current) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .flatMap(service -> service.upstreams().stream())
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .forEach(upstream -> refreshSession(current, upstream));
  }

  /** A VM that was replaced at another address may still run; its last grant has to lapse first. */
  private void refreshSession(LeaderTerm current, Upstream upstream) {
    String name = upstream.name();
    UpstreamSession session =
        current.sessions().computeIfAbsent(name, absent -> new UpstreamSession(upstream));
    session.refresh(upstream, clock.nowMs());
    if (session.replacedBy(clock.nowMs() - timing.lapsedGrantMs())) {
      freeAll(current, name);
      current.sessions().put(name, new UpstreamSession(upstream));
    }
  }

  private void freeLapsedSlices(LeaderTerm current) {
    long answeredAfterMs = clock.nowMs() - timing.lapsedGrantMs();
    for (UpstreamSession session : current.sessions().values()) {
      if (!session.answeredSince(answeredAfterMs)) {
        session.noteLapsed();
        freeAll(current, session.upstream().name());
      }
    }
  }

  private void closeIfExcluded(LeaderTerm current) {
    boolean holdOver = clock.nowMs() - current.acquiredMs() >= timing.lapsedHoldMs();
    boolean excluded =
        timing.holdWithoutTableMs() == 0
            || holdOver
            || ArbiterQuorum.closed(election.inheritedArbiters(), current.sessions());
    if (current.closedMs().isEmpty() && excluded) {
      current.close(clock.nowMs());
    }
  }

  private void proposeArbiters(LeaderTerm current) {
    List<Arbiter> proposed = election.proposedArbiters();
    List<UpstreamSession> fenced =
        current.sessions().values().stream().filter(UpstreamSession::fenced).toList();
    boolean whole = proposed.size() >= Math.min(MAX_ARBITERS, fenced.size());
    if (!whole || !proposed.stream().allMatch(arbiter -> isFenced(current, arbiter))) {
      election.proposeArbiters(
          fenced.stream().limit(MAX_ARBITERS).map(DataCentreLeader::arbiter).toList());
    }
  }

  private static boolean isFenced(LeaderTerm current, Arbiter arbiter) {
    UpstreamSession session = current.sessions().get(arbiter.getUpstream());
    return session != null && session.fenced() && session.bootId() == arbiter.getBootId();
  }

  private static Arbiter arbiter(UpstreamSession session) {
    return Arbiter.newBuilder()
        .setUpstream(session.upstream().name())
        .setBootId(session.bootId())
        .setAddress(session.upstream().address())
        .build();
  }

  private void freeAll(LeaderTerm current, String upstream) {
    for (SliceState state : current.slices().values()) {
      if (state.ownedBy(upstream)) {
        release(current, state);
      }
    }
  }

  private void release(LeaderTerm current, SliceState state) {
    state.free(clock.nowMs());
    current.markChanged();
  }

  private void place(LeaderTerm current, ServiceView service) {
    String name = service.definition().getName();
    boolean mayTakeUnfound =
        clock.nowMs() >= current.closedMs().orElseThrow() + timing.lapsedGrantMs();
    List<PlacedSlice> placed = new ArrayList<>();
    List<SliceKey> local = localSlices(service);
    retireOthers(current, name, local);
    for (SliceKey key : local) {
      SliceState state = current.slices().get(key);
      if (state == null && overlapsHeld(current, key)) {
        continue;
      }
      if (state == null) {
        state = new SliceState();
        state.free(clock.nowMs());
        current.slices().put(key, state);
      }
      if (state.found() || mayTakeUnfound) {
        placed.add(new PlacedSlice(key.range(), state.effectiveOwner(), 0));
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

  /** Takes slices that are no longer planned here away from their owners. */
  private static void retireOthers(LeaderTerm current, String service, List<SliceKey> local) {
    Set<SliceKey> planned = new HashSet<>(local);
    current
        .slices()
        .entrySet()
        .removeIf(
            entry ->
                isOther(entry.getKey(), service, planned)
                    && entry.getValue().assignment().isEmpty());
    current
        .slices()
        .forEach(
            (key, state) -> {
              if (isOther(key, service, planned)) {
                state.retire();
              }
            });
  }

  private static boolean isOther(SliceKey key, String service, Set<SliceKey> planned) {
    return key.service().equals(service) && !planned.contains(key);
  }

  private static boolean overlapsHeld(LeaderTerm current, SliceKey key) {
    return current.slices().keySet().stream()
        .filter(other -> other.service().equals(key.service()))
        .anyMatch(other -> other.range().overlaps(key.range()));
  }

  private static boolean isUsable(LeaderTerm current, String upstream) {
    UpstreamSession session = current.sessions().get(upstream);
    return session != null && session.fenced() && !session.replaced();
  }

  private List<SliceKey> localSlices(ServiceView service) {
    String name = service.definition().getName();
    return SliceRange.divide(service.definition().getInitialSlices()).stream()
        .filter(range -> homes.get().directory().isHome(dataCentre, name, range))
        .map(range -> new SliceKey(name, range))
        .toList();
  }

  private void apply(LeaderTerm current, SliceKey key, String target) {
    SliceState state = current.slices().get(key);
    if (state == null) {
      return;
    }
    if (state.assignment().isPresent()) {
      state.setNextOwner(target);
      return;
    }
    assign(current, key, state, target);
  }

  private void assign(LeaderTerm current, SliceKey key, SliceState state, String target) {
    state.assign(new SliceAssignment(key.range(), target, current.nextFence()));
    current.markChanged();
  }

  private void exchange(UpstreamSession session) {
    LeaderTerm current = term;
    if (session.inFlight()
        || session.replaced()
        || current == null
        || election.unsuperseded().isEmpty()) {
      return;
    }
    session.setInFlight(true);
    if (session.bootId() == 0) {
      grants
          .status(session.upstream())
          .whenCompleteAsync((reply, failure) -> onStatus(current, session, reply), control);
      return;
    }
    GrantRequest request = request(current, session);
    long sentMs = clock.nowMs();
    grants
        .grant(session.upstream(), request)
        .whenCompleteAsync(
            (reply, failure) -> onGrantReply(current, session, request, sentMs, reply), control);
  }

  private GrantRequest request(LeaderTerm current, UpstreamSession session) {
    long ttlMs = grantTtlMs(current, session);
    boolean fenceOnly = !session.fenced() || ttlMs <= 0;
    GrantRequest.Builder request =
        GrantRequest.newBuilder()
            .setBootId(session.bootId())
            .setFence(current.nextFence().toValue())
            .setAsOfMs(session.asOfMs())
            .setFenceOnly(fenceOnly);
    if (!fenceOnly) {
      request.setTtlMs((int) ttlMs).addAllSlices(wantedSlices(current, session));
    }
    return request.build();
  }

  /** Returns the time to live that ends a grant with the authority behind it, or less than one. */
  private long grantTtlMs(LeaderTerm current, UpstreamSession session) {
    OptionalLong authorityMs = authorityMs(current);
    if (authorityMs.isEmpty()) {
      return 0;
    }
    long sinceAuthorityMs = Math.max(0, session.lastReplyMs() - authorityMs.getAsLong());
    return timing.grantTtlMs() - sinceAuthorityMs;
  }

  private List<GrantedSlice> wantedSlices(LeaderTerm current, UpstreamSession session) {
    long authorityMs = authorityMs(current).orElseThrow();
    List<GrantedSlice> wanted = new ArrayList<>();
    current
        .slices()
        .forEach(
            (key, state) ->
                state
                    .assignment()
                    .filter(a -> a.upstream().equals(session.upstream().name()))
                    .filter(a -> !state.leaving())
                    .filter(a -> state.freedMs() <= authorityMs)
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

  private boolean isCurrent(LeaderTerm current, UpstreamSession session) {
    return current == term && current.sessions().get(session.upstream().name()) == session;
  }

  private void onStatus(LeaderTerm current, UpstreamSession session, @Nullable GrantReply reply) {
    session.setInFlight(false);
    if (reply != null && isCurrent(current, session)) {
      session.noteBoot(reply, clock.nowMs());
      exchange(session);
    }
  }

  private void onGrantReply(
      LeaderTerm current,
      UpstreamSession session,
      GrantRequest request,
      long sentMs,
      @Nullable GrantReply reply) {
    session.setInFlight(false);
    if (reply == null || !isCurrent(current, session)) {
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
    session.noteOrderAccepted(sentMs);
    boolean readAfterClosing =
        current.closedMs().isPresent() && sentMs >= current.closedMs().getAsLong();
    if (!readAfterClosing) {
      continueClosing(current);
      return;
    }
    session.noteAccepted(
        reply.getSlicesList().stream().map(SliceKey::of).collect(Collectors.toSet()));
    if (request.getFenceOnly()) {
      adopt(current, session, reply);
    } else {
      finishReleases(current, session);
    }
  }

  /** Sends the next orders at once, since the grants of an earlier leader run out meanwhile. */
  private void continueClosing(LeaderTerm current) {
    closeIfExcluded(current);
    if (current.closedMs().isPresent()) {
      current.sessions().values().stream().filter(s -> !s.fenced()).forEach(this::exchange);
    }
  }

  private void adopt(LeaderTerm current, UpstreamSession session, GrantReply reply) {
    if (reply.getRemainingMs() == 0) {
      return;
    }
    for (GrantedSlice slice : reply.getSlicesList()) {
      SliceKey key = SliceKey.of(slice);
      SliceState state = current.slices().computeIfAbsent(key, k -> new SliceState());
      if (state.assignment().isEmpty() && !state.found()) {
        Fence fence = Fence.of(slice.getFence());
        state.assign(new SliceAssignment(key.range(), session.upstream().name(), fence));
        current.markChanged();
      }
    }
    exchange(session);
  }

  private void finishReleases(LeaderTerm current, UpstreamSession session) {
    String name = session.upstream().name();
    for (Map.Entry<SliceKey, SliceState> entry : current.slices().entrySet()) {
      SliceState state = entry.getValue();
      if (state.ownedBy(name) && state.leaving() && !session.holds(entry.getKey())) {
        Optional<String> target = state.nextOwner().filter(t -> isUsable(current, t));
        release(current, state);
        target.ifPresent(t -> assign(current, entry.getKey(), state, t));
      }
    }
  }

  private void publishIfChanged(LeaderTerm current) {
    if (!current.takeChanged()) {
      return;
    }
    Fence version = current.nextFence();
    OwnershipCheckpoint.Builder checkpoint =
        OwnershipCheckpoint.newBuilder()
            .setDataCentre(dataCentre)
            .setEpoch(version.epoch())
            .setSequence(version.sequence());
    assignmentsByService(current).forEach((name, slices) -> checkpoint.addServices(slices));
    publisher.publish(checkpoint.build());
  }

  private static Map<String, ServiceAssignment> assignmentsByService(LeaderTerm current) {
    Map<String, ServiceAssignment> byService = new TreeMap<>();
    Set<String> names = new HashSet<>();
    current.slices().keySet().forEach(key -> names.add(key.service()));
    for (String name : names) {
      ServiceAssignment.Builder builder = ServiceAssignment.newBuilder().setService(name);
      current.slices().entrySet().stream()
          .filter(entry -> entry.getKey().service().equals(name))
          .sorted(Comparator.comparing(entry -> entry.getKey().range()))
          .flatMap(entry -> entry.getValue().assignment().stream())
          .forEach(assignment -> builder.addSlices(assignment.toValue()));
      byService.put(name, builder.build());
    }
    return byService;
  }
}
