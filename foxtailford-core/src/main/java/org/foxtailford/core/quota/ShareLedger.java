package org.foxtailford.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.foxtailford.core.util.Assert;

/**
 * The leader's division of each tenant's quota among the holders, by the demand that they report.
 * Addresses demand that moves between data centres, holders that end and holders that are cut off:
 * what a holder may still be using is not given to another. One instance serves one term of
 * leadership. Confined to one thread.
 */
public final class ShareLedger {

  /** The whole quota of a tenant, in parts per million. */
  public static final int WHOLE_PPM = 1_000_000;

  /**
   * Validity of a share, in milliseconds. It outlasts a change of the leader, which takes two or
   * three seconds. Longer ones keep the share of an ended holder from its successor, and a new
   * leader from giving any: 15 s cost a tenth of the answers while VMs were restarted in turn.
   */
  public static final long SHARE_TTL_MS = 6000;

  /** Time since its last report after which a holder's demand is not counted, in milliseconds. */
  private static final long DEMAND_TTL_MS = 3000;

  /** Part of the quota that holders without demand keep together, for their first requests. */
  private static final double IDLE_PART = 0.02;

  /** Part of the quota that is held back for new holders while the demand is low. */
  private static final double RESERVE_PART = 0.15;

  /**
   * Part of a share by which it has to shrink at least. A share that moves is used by nobody for up
   * to two reports, which random variations of the demand are not worth.
   */
  private static final double MIN_CHANGE = 0.1;

  /** Demand, relative to the limit, up to which the whole reserve is held back. */
  private static final double RESERVE_FULL_BELOW = 0.7;

  /** Demand, relative to the limit, from which no reserve is held back. */
  private static final double RESERVE_NONE_ABOVE = 0.9;

  private final Function<String, Optional<QuotaLimit>> limits;
  private final long settledMs;
  private final Map<String, HolderState> holders = new HashMap<>();
  private final Map<String, Map<String, Account>> accountsByTenant = new HashMap<>();

  private static final class HolderState {
    private long life;
    private long lastNumber;
    private long lastReportMs;
  }

  /** What one holder may be using of one tenant's quota. */
  private static final class Account {
    private int heldPpm;
    private long heldUntilMs;
    private int offeredPpm;
    private long offeredUntilMs;
    private double demand;

    int committedPpm(long nowMs) {
      return Math.max(nowMs < heldUntilMs ? heldPpm : 0, nowMs < offeredUntilMs ? offeredPpm : 0);
    }
  }

  /**
   * Creates the ledger of a term.
   *
   * @param limits returns the limit of a tenant; empty for one without limit or an unknown one
   * @param settledMs time from which shares that the previous leader gave have expired
   */
  public ShareLedger(Function<String, Optional<QuotaLimit>> limits, long settledMs) {
    this.limits = Assert.notNull(limits, "limits");
    this.settledMs = settledMs;
  }

  /**
   * Processes a holder's report and returns its shares from now on.
   *
   * @param life start of the holder's process
   * @param number number of the report, which rises within a life; reports that arrive late are
   *     ignored, since they tell shares that the holder no longer has
   * @param allReported whether all known entry VMs have reported in this term, so that no share is
   *     unknown
   */
  public List<TenantShare> onReport(
      String node,
      long life,
      long number,
      List<ShareHolding> reported,
      boolean allReported,
      long nowMs) {
    HolderState holder = holders.computeIfAbsent(node, name -> new HolderState());
    if (life < holder.life || life == holder.life && number <= holder.lastNumber) {
      return List.of();
    }
    if (life > holder.life) {
      accountsByTenant.values().forEach(accounts -> accounts.remove(node));
    }
    holder.life = life;
    holder.lastNumber = number;
    holder.lastReportMs = nowMs;
    dropExpired(nowMs);
    List<TenantShare> shares = new ArrayList<>();
    for (ShareHolding holding : reported) {
      Optional<QuotaLimit> limit = limits.apply(holding.tenant());
      if (limit.isPresent() && isValid(holding)) {
        record(node, holding, nowMs);
        boolean settled = allReported || nowMs >= settledMs;
        shares.add(offer(node, holding.tenant(), limit.get(), settled, nowMs));
      }
    }
    return shares;
  }

  private static boolean isValid(ShareHolding holding) {
    return holding.ppm() >= 0
        && holding.ppm() <= WHOLE_PPM
        && holding.leftMs() <= SHARE_TTL_MS
        && holding.demandPerSecond() >= 0
        && Double.isFinite(holding.demandPerSecond());
  }

  /** Replaces what the holder may be using by what it says, which includes all earlier offers. */
  private void record(String node, ShareHolding holding, long nowMs) {
    Account account =
        accountsByTenant
            .computeIfAbsent(holding.tenant(), tenant -> new HashMap<>())
            .computeIfAbsent(node, name -> new Account());
    account.heldPpm = holding.ppm();
    account.heldUntilMs = nowMs + holding.leftMs();
    account.offeredPpm = 0;
    account.demand = holding.demandPerSecond();
  }

  private TenantShare offer(
      String node, String tenant, QuotaLimit limit, boolean settled, long nowMs) {
    Map<String, Account> accounts = Assert.notNull(accountsByTenant.get(tenant), "accounts");
    Account account = Assert.notNull(accounts.get(node), "account");
    int committedPpm = account.committedPpm(nowMs);
    int offeredPpm = committedPpm;
    if (settled) {
      int freePpm = WHOLE_PPM - committedSum(accounts, nowMs);
      int targetPpm = targetPpm(node, accounts, limit, nowMs);
      boolean keeps = targetPpm <= committedPpm && targetPpm >= committedPpm * (1 - MIN_CHANGE);
      offeredPpm = keeps ? committedPpm : Math.min(targetPpm, committedPpm + Math.max(0, freePpm));
    }
    account.offeredPpm = offeredPpm;
    account.offeredUntilMs = nowMs + SHARE_TTL_MS;
    return new TenantShare(tenant, offeredPpm, SHARE_TTL_MS);
  }

  private static int committedSum(Map<String, Account> accounts, long nowMs) {
    return accounts.values().stream().mapToInt(account -> account.committedPpm(nowMs)).sum();
  }

  private int targetPpm(String node, Map<String, Account> accounts, QuotaLimit limit, long nowMs) {
    double total = 0;
    int live = 0;
    for (Map.Entry<String, Account> entry : accounts.entrySet()) {
      if (isLive(entry.getKey(), nowMs)) {
        total += entry.getValue().demand;
        live++;
      }
    }
    Account own = Assert.notNull(accounts.get(node), "account");
    double byDemand = total > 0 ? own.demand / total : 1.0 / live;
    double part = IDLE_PART / live + (1 - IDLE_PART) * byDemand;
    return (int) (WHOLE_PPM * part * (1 - reserve(total / limit.ratePerSecond())));
  }

  private boolean isLive(String node, long nowMs) {
    HolderState holder = holders.get(node);
    return holder != null && nowMs - holder.lastReportMs <= DEMAND_TTL_MS;
  }

  private static double reserve(double use) {
    double full = (RESERVE_NONE_ABOVE - use) / (RESERVE_NONE_ABOVE - RESERVE_FULL_BELOW);
    return RESERVE_PART * Math.max(0, Math.min(1, full));
  }

  private void dropExpired(long nowMs) {
    for (Map<String, Account> accounts : accountsByTenant.values()) {
      accounts
          .entrySet()
          .removeIf(
              entry -> entry.getValue().committedPpm(nowMs) == 0 && !isLive(entry.getKey(), nowMs));
    }
    accountsByTenant.values().removeIf(Map::isEmpty);
  }

  /** Returns what all holders may be using of a tenant's quota, in parts per million. */
  public int committedPpm(String tenant, long nowMs) {
    return committedSum(accountsByTenant.getOrDefault(tenant, Map.of()), nowMs);
  }
}
