package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.quota.QuotaAdmission;
import org.foxtailford.core.quota.QuotaLimit;
import org.foxtailford.core.quota.TokenCache;
import org.foxtailford.core.quota.TokenHolder;
import org.foxtailford.core.quota.TokenIssue;
import org.foxtailford.core.quota.TokenRequest;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.TokenSource;
import org.foxtailford.schema.entry.ExchangeReply;
import org.foxtailford.schema.entry.ExchangeRequest;
import org.foxtailford.schema.entry.TokenDemand;
import org.foxtailford.schema.entry.TokenGrant;

/**
 * Requests tokens from the holders of this data centre and issues them to other VMs. No call is
 * made while no tenant has a limit. Confined to the event loop.
 */
public final class TokenExchange implements ExchangePart, TokenSource {

  /** Minimum interval between calls to a holder, and between checks for due calls. */
  private static final long CALL_INTERVAL_MS = 10;

  /**
   * Interval between checks while no tenant has a limit, in milliseconds; each one costs processor
   * time.
   */
  private static final long IDLE_INTERVAL_MS = 500;

  /** Minimum interval between early reports to the leader, in milliseconds. */
  private static final long EARLY_REPORT_INTERVAL_MS = 250;

  private final QuotaLimits limits;
  private final DataCentreCoordinators coordinators;
  private final TokenHolder holder;
  private final TokenCache cache;
  private final MillisClock clock;
  private final ScheduledExecutorService loop;
  private final Listener listener;
  private final Map<String, Long> sentMsByNode = new HashMap<>();
  private boolean pumpScheduled;
  private long lastEarlyReportMs = Long.MIN_VALUE / 2;
  private long lastAnswerMs = Long.MIN_VALUE / 2;
  private long invalidMessages;

  /** What token exchange needs of the VM. */
  public interface Listener {

    /** Returns the first of some coordinators that has not failed to answer lately. */
    Optional<ExchangePeer> firstUsable(List<ExchangePeer> inOrder);

    /** Calls a coordinator unless a call to it awaits its reply. */
    void call(ExchangePeer target);

    /** Called when waiting requests may be decided. */
    void onTokens();

    /** Called when this VM needs shares from the leader soon. */
    void onShareWanted();
  }

  TokenExchange(
      QuotaLimits limits,
      DataCentreCoordinators coordinators,
      TokenHolder holder,
      TokenCache cache,
      MillisClock clock,
      ScheduledExecutorService loop,
      Listener listener) {
    this.limits = Assert.notNull(limits, "limits");
    this.coordinators = Assert.notNull(coordinators, "coordinators");
    this.holder = Assert.notNull(holder, "holder");
    this.cache = Assert.notNull(cache, "cache");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Starts the periodic check for calls that are due. */
  public void start() {
    pump();
    loop.schedule(
        this::start,
        limits.tenants().isEmpty() ? IDLE_INTERVAL_MS : CALL_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void pump() {
    pumpScheduled = false;
    if (limits.tenants().isEmpty()) {
      return;
    }
    for (int i = 0; i < coordinators.groups(); i++) {
      int group = i;
      Optional<ExchangePeer> target = listener.firstUsable(coordinators.inOrder(group));
      if (target.isEmpty()) {
        ownGroup(group).forEach(tenant -> cache.onNoAnswer(tenant, clock.nowMs()));
        listener.onTokens();
      } else if (isPaced(target.get())
          && cache.isCallDue(tenant -> coordinators.groupOf(tenant) == group, clock.nowMs())) {
        listener.call(target.get());
      }
    }
  }

  private boolean isPaced(ExchangePeer target) {
    long sentMs = sentMsByNode.getOrDefault(target.node(), Long.MIN_VALUE / 2);
    return clock.nowMs() - sentMs >= CALL_INTERVAL_MS;
  }

  private List<String> ownGroup(int group) {
    return limits.tenants().stream()
        .filter(tenant -> coordinators.groupOf(tenant) == group)
        .toList();
  }

  /** Returns the tenants for which this VM is the holder of its data centre. */
  List<String> ownTenants(String node) {
    List<String> tenants = new ArrayList<>();
    for (int group = 0; group < coordinators.groups(); group++) {
      boolean isOwn =
          listener
              .firstUsable(coordinators.inOrder(group))
              .filter(peer -> peer.node().equals(node))
              .isPresent();
      if (isOwn) {
        tenants.addAll(ownGroup(group));
      }
    }
    return tenants;
  }

  @Override
  public void addTo(ExchangeRequest.Builder request, ExchangePeer target) {
    long nowMs = clock.nowMs();
    sentMsByNode.put(target.node(), nowMs);
    for (int i = 0; i < coordinators.groups(); i++) {
      int group = i;
      if (listener.firstUsable(coordinators.inOrder(group)).filter(target::equals).isPresent()) {
        cache
            .drainRequests(tenant -> coordinators.groupOf(tenant) == group, nowMs)
            .forEach(demand -> request.addTokenDemands(toMessage(demand)));
      }
    }
  }

  private static TokenDemand toMessage(TokenRequest demand) {
    return TokenDemand.newBuilder()
        .setTenant(demand.tenant())
        .setNeeded(demand.needed())
        .setExpected(demand.expected())
        .setReturned(demand.returned())
        .setRequests(demand.requests())
        .build();
  }

  @Override
  public void onReply(
      ExchangeRequest request, ExchangeReply reply, ExchangePeer target, long sentMs) {
    coordinators.recordLife(target.node(), reply.getLife());
    if (request.getTokenDemandsCount() == 0) {
      return;
    }
    long nowMs = clock.nowMs();
    lastAnswerMs = nowMs;
    long sentByOwnClockMs = sentMsByNode.getOrDefault(target.node(), nowMs);
    for (TokenGrant grant : reply.getTokenGrantsList()) {
      TokenIssue issue =
          new TokenIssue(
              grant.getTenant(),
              grant.getTokens(),
              grant.getTtlMs(),
              grant.getRetryAfterMs(),
              grant.getUnknown());
      if (!cache.apply(issue, sentByOwnClockMs, nowMs)) {
        invalidMessages++;
      }
    }
    listener.onTokens();
  }

  @Override
  public void onFailure(ExchangeRequest request, ExchangePeer target) {
    schedulePump(); // the next coordinator in order is asked at once
  }

  @Override
  public void answer(ExchangeRequest request, ExchangeReply.Builder reply) {
    long nowMs = clock.nowMs();
    for (TokenDemand demand : request.getTokenDemandsList()) {
      Optional<TokenIssue> issue =
          holder.issue(
              new TokenRequest(
                  demand.getTenant(),
                  demand.getNeeded(),
                  demand.getExpected(),
                  demand.getReturned(),
                  demand.getRequests()),
              nowMs);
      issue.ifPresentOrElse(
          issued -> reply.addTokenGrants(toMessage(issued)), () -> invalidMessages++);
    }
    if (holder.isShareWanted() && nowMs - lastEarlyReportMs >= EARLY_REPORT_INTERVAL_MS) {
      lastEarlyReportMs = nowMs;
      listener.onShareWanted();
    }
  }

  private static TokenGrant toMessage(TokenIssue issue) {
    return TokenGrant.newBuilder()
        .setTenant(issue.tenant())
        .setTokens(issue.tokens())
        .setTtlMs(issue.ttlMs())
        .setRetryAfterMs(issue.retryAfterMs())
        .setUnknown(issue.unknown())
        .build();
  }

  private void schedulePump() {
    if (!pumpScheduled) {
      pumpScheduled = true;
      loop.execute(this::pump);
    }
  }

  @Override
  public Optional<QuotaLimit> limit(String tenant) {
    return limits.find(tenant);
  }

  @Override
  public QuotaAdmission request(String tenant) {
    QuotaAdmission admission = cache.request(tenant, clock.nowMs());
    if (admission.outcome() == QuotaAdmission.Outcome.PENDING) {
      schedulePump();
    }
    return admission;
  }

  @Override
  public QuotaAdmission decide(String tenant) {
    return cache.decide(tenant, clock.nowMs());
  }

  @Override
  public QuotaAdmission withoutHolder(String tenant) {
    return cache.withoutHolder(tenant, clock.nowMs());
  }

  @Override
  public void endWait(String tenant) {
    cache.endWait(tenant);
  }

  @Override
  public void putBack(String tenant, QuotaAdmission admission) {
    cache.putBack(tenant, admission, clock.nowMs());
  }

  @Override
  public int sharePpm(String tenant) {
    return holder.sharePpm(tenant, clock.nowMs());
  }

  @Override
  public long answerAgeMs() {
    return lastAnswerMs < 0 ? -1 : clock.nowMs() - lastAnswerMs;
  }

  /** Returns the number of tenants of which this VM holds a share. */
  public long heldShares() {
    return holder.heldShares(clock.nowMs());
  }

  /** Returns the number of invalid token messages that were ignored. */
  public long invalidMessages() {
    return invalidMessages;
  }
}
