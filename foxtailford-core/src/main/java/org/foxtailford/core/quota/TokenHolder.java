package org.foxtailford.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.util.Assert;

/**
 * Issues tokens to the VMs of a data centre from the shares of this VM. Addresses callers of a
 * tenant that are spread over many VMs, each with too few requests for a share of its own. Confined
 * to one thread.
 */
public final class TokenHolder {

  /** Minimum half-life of the reported demand, in milliseconds; a few reports to the leader. */
  private static final double MIN_HALF_LIFE_MS = 2000;

  /** Maximum half-life of the reported demand, in milliseconds. */
  private static final double MAX_HALF_LIFE_MS = 10_000;

  /** Requests at the limit's rate in a half-life; fewer vary too much from one to the next. */
  private static final double HALF_LIFE_REQUESTS = 40;

  /**
   * Time after the last request for tokens from which a VM that is not the holder gives its share
   * back, in milliseconds; several intervals of the calls.
   */
  private static final long GIVE_BACK_MS = 2000;

  /** Ratio of demand to share from which a larger share is wanted soon. */
  private static final double SHORTAGE_RATIO = 2;

  /**
   * Maximum time after which a caller is told to retry, in milliseconds, while the share is short
   * of the demand: by then the leader has given the holder what it may have.
   */
  private static final long SHORTAGE_RETRY_MS = 700;

  /** Demand a second below which a tenant counts as idle. */
  private static final double MIN_DEMAND = 0.01;

  /** Time without demand and share after which a tenant is forgotten, in milliseconds. */
  private static final long RETENTION_MS = 60_000;

  private final Function<String, Optional<QuotaLimit>> limits;
  private final QuotaTerms terms;
  private final Map<String, Holding> holdings = new HashMap<>();
  private long term;
  private boolean shareWanted;

  private static final class Holding {

    private final TokenBucket bucket;
    private final DecayingRate demand;
    private int ppm;
    private long expiresMs;
    private long usedMs;
    private long givenBackMs;

    Holding(QuotaLimit limit, long nowMs) {
      bucket = new TokenBucket(nowMs);
      double halfLifeMs = HALF_LIFE_REQUESTS * 1000 / limit.ratePerSecond();
      demand =
          new DecayingRate(
              Math.max(MIN_HALF_LIFE_MS, Math.min(MAX_HALF_LIFE_MS, halfLifeMs)), nowMs);
      usedMs = nowMs;
    }
  }

  /**
   * Creates a holder without shares.
   *
   * @param limits returns the limit of a tenant; empty for one without limit or an unknown one
   */
  public TokenHolder(Function<String, Optional<QuotaLimit>> limits, QuotaTerms terms) {
    this.limits = Assert.notNull(limits, "limits");
    this.terms = Assert.notNull(terms, "terms");
  }

  /** Issues tokens; empty if the tenant has no limit or the request is invalid. */
  public Optional<TokenIssue> issue(TokenRequest request, long nowMs) {
    Optional<QuotaLimit> limit = limits.apply(request.tenant());
    if (limit.isEmpty() || !isValid(request)) {
      return Optional.empty();
    }
    Holding holding = find(request.tenant(), limit.get(), nowMs);
    holding.usedMs = nowMs;
    holding.demand.add(request.requests(), nowMs);
    refresh(holding, limit.get(), nowMs);
    if (holding.ppm == 0) {
      shareWanted = true;
      return Optional.of(new TokenIssue(request.tenant(), 0, 0, 0, true));
    }
    TokenBucket bucket = holding.bucket;
    bucket.putBack(request.returned());
    int available = bucket.available(nowMs);
    int forNeeds = Math.min(request.needed(), available);
    // Half of the rest stays for the next VM that needs a token at once.
    int ahead = Math.min(request.expected(), (available - forNeeds) / 2);
    bucket.take(forNeeds + ahead);
    long retryAfterMs = 0;
    if (forNeeds < request.needed()) {
      boolean isShort = isShortOfDemand(holding, limit.get(), nowMs);
      shareWanted |= isShort;
      retryAfterMs =
          isShort ? Math.min(SHORTAGE_RETRY_MS, bucket.nextTokenMs()) : bucket.nextTokenMs();
    }
    return Optional.of(
        new TokenIssue(
            request.tenant(), forNeeds + ahead, terms.tokenTtlMs(), retryAfterMs, false));
  }

  /** Returns whether the demand exceeds the share although it is below the whole limit. */
  private static boolean isShortOfDemand(Holding holding, QuotaLimit limit, long nowMs) {
    double share = holding.ppm / (double) ShareLedger.WHOLE_PPM;
    double demand = holding.demand.perSecond(nowMs);
    return demand > SHORTAGE_RATIO * share * limit.ratePerSecond()
        && demand < limit.ratePerSecond();
  }

  private Holding find(String tenant, QuotaLimit limit, long nowMs) {
    return holdings.computeIfAbsent(tenant, name -> new Holding(limit, nowMs));
  }

  private static boolean isValid(TokenRequest request) {
    return request.needed() >= 0
        && request.expected() >= 0
        && request.returned() >= 0
        && request.requests() >= 0;
  }

  private void refresh(Holding holding, QuotaLimit limit, long nowMs) {
    if (nowMs >= holding.expiresMs && holding.ppm > 0) {
      // The tokens that accrued since the expiry are void: the leader may have given the share
      // away.
      holding.bucket.set(0, 0, nowMs);
      holding.ppm = 0;
    }
    double share = holding.ppm / (double) ShareLedger.WHOLE_PPM;
    if (share > 0) {
      holding.bucket.set(limit.ratePerSecond() * share, terms.bucketCapacity(limit, share), nowMs);
    }
  }

  /**
   * Applies shares of the leader's reply.
   *
   * @param leaderTerm term of the leader; shares of an earlier term than the last one are ignored
   * @param sentMs when the report was sent to which the leader replied
   */
  public void apply(long leaderTerm, List<TenantShare> shares, long sentMs, long nowMs) {
    if (leaderTerm < term) {
      return;
    }
    term = leaderTerm;
    for (TenantShare share : shares) {
      Optional<QuotaLimit> limit = limits.apply(share.tenant());
      boolean isValid = share.ppm() >= 0 && share.ppm() <= ShareLedger.WHOLE_PPM;
      if (limit.isPresent() && isValid) {
        Holding holding = find(share.tenant(), limit.get(), nowMs);
        refresh(holding, limit.get(), nowMs); // accrues at the previous share
        holding.ppm = share.ppm();
        holding.expiresMs = sentMs + Math.min(share.ttlMs(), ShareLedger.SHARE_TTL_MS);
        if (holding.ppm == 0) {
          holding.bucket.set(0, 0, nowMs);
        }
        refresh(holding, limit.get(), nowMs);
      }
    }
  }

  /**
   * Returns what is to be reported to the leader.
   *
   * @param leaderTerm term of the leader to which the report goes
   * @param expected tenants for which this VM is the holder, whether there is demand or not
   */
  public List<ShareHolding> report(long leaderTerm, Iterable<String> expected, long nowMs) {
    term = Math.max(term, leaderTerm);
    shareWanted = false;
    for (String tenant : expected) {
      limits.apply(tenant).ifPresent(limit -> find(tenant, limit, nowMs).usedMs = nowMs);
    }
    holdings.values().forEach(holding -> giveBackUnused(holding, nowMs));
    holdings
        .entrySet()
        .removeIf(
            entry ->
                limits.apply(entry.getKey()).isEmpty()
                    || entry.getValue().expiresMs <= nowMs
                        && nowMs - entry.getValue().usedMs > RETENTION_MS);
    List<ShareHolding> reported = new ArrayList<>();
    holdings.forEach(
        (tenant, holding) -> {
          double demand = holding.demand.perSecond(nowMs);
          boolean isHeld = holding.ppm > 0 && nowMs < holding.expiresMs;
          boolean isUnused = nowMs - holding.usedMs > GIVE_BACK_MS;
          if (isUnused && holding.givenBackMs > 0 && nowMs - holding.givenBackMs > GIVE_BACK_MS) {
            return; // the leader has heard of it
          }
          reported.add(
              new ShareHolding(
                  tenant,
                  isHeld ? holding.ppm : 0,
                  isUnused || demand < MIN_DEMAND ? 0 : demand,
                  isHeld ? holding.expiresMs - nowMs : 0));
        });
    return reported;
  }

  private static void giveBackUnused(Holding holding, long nowMs) {
    if (nowMs - holding.usedMs <= GIVE_BACK_MS) {
      holding.givenBackMs = 0;
    } else if (holding.givenBackMs == 0) {
      holding.givenBackMs = nowMs;
    }
    if (holding.givenBackMs > 0) {
      holding.bucket.set(0, 0, nowMs);
      holding.ppm = 0;
    }
  }

  /** Returns whether tokens were requested since the last report for which there is no share. */
  public boolean isShareWanted() {
    return shareWanted;
  }

  /** Returns the share of a tenant in parts per million; 0 if there is none that is valid. */
  public int sharePpm(String tenant, long nowMs) {
    Holding holding = holdings.get(tenant);
    return holding != null && nowMs < holding.expiresMs ? holding.ppm : 0;
  }

  /** Returns the number of tenants of which a share is valid. */
  public long heldShares(long nowMs) {
    Predicate<Holding> isHeld = holding -> holding.ppm > 0 && nowMs < holding.expiresMs;
    return holdings.values().stream().filter(isHeld).count();
  }
}
