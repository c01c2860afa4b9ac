package org.foxtailford.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.foxtailford.core.util.Assert;

/**
 * Tokens that a VM got from the holders of its data centre, and what it requests next. Addresses
 * the cost of a call per request: tokens are requested in batches, ahead of the requests where
 * there are enough of them. Confined to one thread.
 */
public final class TokenCache {

  /** Half-life of the request rate from which needs are estimated, in milliseconds. */
  private static final double RATE_HALF_LIFE_MS = 500;

  /** Maximum time until the holder is told of requests, rejected ones included. */
  private static final long REPORT_DELAY_MS = 300;

  /** Time before their expiry at which unused tokens go back, in milliseconds; many round trips. */
  private static final long RETURN_MARGIN_MS = 50;

  /** Time for which an unanswered tenant is not asked for again, in milliseconds. */
  private static final long UNKNOWN_MS = 100;

  /** Retry delay for callers while no holder answers, in milliseconds. */
  private static final long UNKNOWN_RETRY_MS = 300;

  /** Time without a request after which a tenant is forgotten, in milliseconds. */
  private static final long RETENTION_MS = 10_000;

  private final Function<String, Optional<QuotaLimit>> limits;
  private final QuotaTerms terms;
  private final EmergencyTokens emergency;
  private final IntSupplier vms;
  private final Map<String, Entry> entries = new HashMap<>();

  private static final class Batch {
    private int tokens;
    private final long expiresMs;

    Batch(int tokens, long expiresMs) {
      this.tokens = tokens;
      this.expiresMs = expiresMs;
    }
  }

  private static final class Entry {
    private final DecayingRate rate;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private int waiting;
    private int requests;
    private long firstRequestMs;
    private long lastRequestMs;
    private long emptyUntilMs = Long.MIN_VALUE;
    private long unknownUntilMs = Long.MIN_VALUE;

    Entry(long nowMs) {
      rate = new DecayingRate(RATE_HALF_LIFE_MS, nowMs);
    }

    int tokens(long nowMs) {
      batches.removeIf(batch -> batch.expiresMs <= nowMs || batch.tokens == 0);
      return batches.stream().mapToInt(batch -> batch.tokens).sum();
    }
  }

  /**
   * Creates a cache without tokens.
   *
   * @param limits returns the limit of a tenant; empty for one without limit or an unknown one
   * @param vms number of entry VMs that share the emergency tokens; 0 if unknown
   */
  public TokenCache(
      Function<String, Optional<QuotaLimit>> limits,
      QuotaTerms terms,
      EmergencyTokens emergency,
      IntSupplier vms) {
    this.limits = Assert.notNull(limits, "limits");
    this.terms = Assert.notNull(terms, "terms");
    this.emergency = Assert.notNull(emergency, "emergency");
    this.vms = Assert.notNull(vms, "vms");
  }

  /** Decides on a new request. If pending, {@link #decide} is called after the next reply. */
  public QuotaAdmission request(String tenant, long nowMs) {
    Entry entry = entries.computeIfAbsent(tenant, name -> new Entry(nowMs));
    entry.rate.add(1, nowMs);
    if (entry.requests == 0) {
      entry.firstRequestMs = nowMs;
    }
    entry.requests++;
    entry.lastRequestMs = nowMs;
    QuotaAdmission admission = decide(tenant, nowMs);
    if (admission.outcome() == QuotaAdmission.Outcome.PENDING) {
      entry.waiting++;
    }
    return admission;
  }

  /** Decides on a request that waits, without counting it again. */
  public QuotaAdmission decide(String tenant, long nowMs) {
    Entry entry = entries.computeIfAbsent(tenant, name -> new Entry(nowMs));
    if (entry.tokens(nowMs) > 0) {
      Batch batch = entry.batches.getFirst();
      batch.tokens--;
      return QuotaAdmission.admitted(batch.expiresMs);
    }
    if (nowMs < entry.emptyUntilMs) {
      return QuotaAdmission.overQuota(entry.emptyUntilMs - nowMs);
    }
    return nowMs < entry.unknownUntilMs ? withoutHolder(tenant, nowMs) : QuotaAdmission.PENDING;
  }

  /** Decides on a request that no holder has answered in time. */
  public QuotaAdmission withoutHolder(String tenant, long nowMs) {
    Optional<QuotaLimit> limit = limits.apply(tenant);
    boolean admitted =
        limit.isEmpty() || emergency.tryTake(tenant, limit.get(), vms.getAsInt(), nowMs);
    return admitted ? QuotaAdmission.admitted(nowMs) : QuotaAdmission.unknown(UNKNOWN_RETRY_MS);
  }

  /** Records that a request no longer waits. */
  public void endWait(String tenant) {
    Entry entry = entries.get(tenant);
    if (entry != null && entry.waiting > 0) {
      entry.waiting--;
    }
  }

  /** Returns whether a call to the holder of some tenants is due. */
  public boolean isCallDue(Predicate<String> isOfHolder, long nowMs) {
    for (Map.Entry<String, Entry> tenant : entries.entrySet()) {
      if (isDue(tenant.getValue(), nowMs) && isOfHolder.test(tenant.getKey())) {
        return true;
      }
    }
    return false;
  }

  private boolean isDue(Entry entry, long nowMs) {
    if (entry.waiting > 0
        || entry.requests > 0 && nowMs - entry.firstRequestMs >= REPORT_DELAY_MS
        || tokensToReturn(entry, nowMs) > 0) {
      return true;
    }
    int wanted = wantedAhead(entry, nowMs);
    return wanted > 1 && entry.tokens(nowMs) < wanted / 2;
  }

  /** Returns the number of tokens that requests are expected to use until tokens expire. */
  private int wantedAhead(Entry entry, long nowMs) {
    return nowMs < entry.emptyUntilMs || nowMs < entry.unknownUntilMs
        ? 0
        : (int) (entry.rate.perSecond(nowMs) * terms.tokenTtlMs() / 1000);
  }

  private static int tokensToReturn(Entry entry, long nowMs) {
    return entry.batches.stream()
        .filter(batch -> batch.expiresMs > nowMs && batch.expiresMs - nowMs <= RETURN_MARGIN_MS)
        .mapToInt(batch -> batch.tokens)
        .sum();
  }

  /** Returns what to request from the holder of some tenants, and gives up what is returned. */
  public List<TokenRequest> drainRequests(Predicate<String> isOfHolder, long nowMs) {
    List<TokenRequest> requests = new ArrayList<>();
    entries
        .values()
        .removeIf(entry -> entry.waiting == 0 && nowMs - entry.lastRequestMs > RETENTION_MS);
    entries.forEach(
        (tenant, entry) -> {
          if (isOfHolder.test(tenant)) {
            int returned = tokensToReturn(entry, nowMs);
            entry.batches.removeIf(batch -> batch.expiresMs - nowMs <= RETURN_MARGIN_MS);
            int ahead = Math.max(0, wantedAhead(entry, nowMs) - entry.tokens(nowMs));
            if (entry.waiting + entry.requests + ahead + returned > 0) {
              requests.add(
                  new TokenRequest(tenant, entry.waiting, ahead, returned, entry.requests));
              entry.requests = 0;
            }
          }
        });
    return requests;
  }

  /**
   * Applies a holder's answer.
   *
   * @param sentMs when the request was sent
   * @return whether the answer is valid; one that isn't has no effect
   */
  public boolean apply(TokenIssue issue, long sentMs, long nowMs) {
    Entry entry = entries.get(issue.tenant());
    if (issue.tokens() < 0 || issue.retryAfterMs() < 0 || issue.ttlMs() < 0) {
      return false;
    }
    if (entry == null) {
      return true;
    }
    if (issue.unknown()) {
      entry.unknownUntilMs = nowMs + UNKNOWN_MS;
      return true;
    }
    entry.unknownUntilMs = Long.MIN_VALUE;
    if (issue.tokens() > 0) {
      long ttlMs = Math.min(issue.ttlMs(), terms.tokenTtlMs());
      entry.batches.addLast(new Batch(issue.tokens(), sentMs + ttlMs));
    }
    entry.emptyUntilMs =
        issue.retryAfterMs() > 0
            ? nowMs + Math.min(issue.retryAfterMs(), terms.windowMs())
            : Long.MIN_VALUE;
    return true;
  }

  /** Records that no holder has answered for a tenant. */
  public void onNoAnswer(String tenant, long nowMs) {
    Entry entry = entries.get(tenant);
    if (entry != null) {
      entry.unknownUntilMs = nowMs + UNKNOWN_MS;
    }
  }

  /** Takes back the token of a request that was rejected without having run, unless it expired. */
  public void putBack(String tenant, QuotaAdmission admission, long nowMs) {
    Entry entry = entries.get(tenant);
    if (entry != null && admission.timeMs() > nowMs) {
      entry.batches.addFirst(new Batch(1, admission.timeMs()));
    }
  }
}
