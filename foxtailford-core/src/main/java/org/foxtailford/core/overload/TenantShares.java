package org.foxtailford.core.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the work sent for each tenant of a service, so that capacity that is scarce is divided in
 * proportion to the tenants' weights.
 *
 * <p>Handles one tenant that sends many times its usual load: its requests go after those of the
 * others, and get what the others leave. Not thread-safe.
 */
public final class TenantShares {

  /** Maximum number of tracked tenants; beyond it, the one that was idle longest is dropped. */
  public static final int MAX_TENANTS = 1000;

  /** Time in which the weight of past work halves, in milliseconds. */
  private static final double HALF_LIFE_MS = 1000;

  /** Time without work after which a tenant has no part in the division, in milliseconds. */
  private static final long IDLE_MS = 5000;

  /**
   * Ratio between the levels of tenants over their share. Finer levels would order requests by
   * chance, coarser ones would let the largest tenant displace others over their share.
   */
  private static final double LEVEL_RATIO = 1.25;

  private static final int MAX_LEVEL = 32;

  /** Half-lives after which the amounts are scaled down, long before a double overflows. */
  private static final double MAX_HALF_LIVES = 500;

  private static final class Usage {
    private final double weight;
    private double work;
    private long lastMs;
    private long levelledAt = -1;
    private int level;

    Usage(double weight) {
      this.weight = weight;
    }
  }

  /** Amounts of work, scaled up by the decay since the reference time; ordered by last send. */
  private final Map<String, Usage> usages = new LinkedHashMap<>();

  /** Number of sends, by which a level that was computed is known to be out of date. */
  private long sends;

  private double totalWork;
  private double totalWeight;
  private long referenceMs;

  /** Records work that is sent for a tenant, in any unit that is the same for all. */
  public void recordSend(WeightedTenant tenant, double work, long nowMs) {
    rescale(nowMs);
    Usage known = usages.remove(tenant.name());
    Usage usage = known;
    if (known == null || known.weight != tenant.weight()) {
      usage = new Usage(tenant.weight());
      usage.work = known == null ? 0 : known.work;
      totalWeight += usage.weight - (known == null ? 0 : known.weight);
    }
    usages.put(tenant.name(), usage);
    sends++;
    double scaled = work * scale(nowMs);
    usage.work += scaled;
    usage.lastMs = nowMs;
    totalWork += scaled;
    removeIdle(nowMs);
  }

  private double scale(long nowMs) {
    return Math.pow(2, (nowMs - referenceMs) / HALF_LIFE_MS);
  }

  private void rescale(long nowMs) {
    if (nowMs - referenceMs > MAX_HALF_LIVES * HALF_LIFE_MS) {
      double factor = 1 / scale(nowMs);
      usages.values().forEach(usage -> usage.work *= factor);
      totalWork *= factor;
      referenceMs = nowMs;
    }
  }

  private void removeIdle(long nowMs) {
    Iterator<Usage> byLastSend = usages.values().iterator();
    while (byLastSend.hasNext()) {
      Usage eldest = byLastSend.next();
      if (usages.size() <= MAX_TENANTS && nowMs - eldest.lastMs <= IDLE_MS) {
        return;
      }
      byLastSend.remove();
      totalWork -= eldest.work;
      totalWeight -= eldest.weight;
    }
  }

  /**
   * Returns how far a tenant is over its share: 0 if it is within it, and more the more work was
   * sent for it in relation to its weight. Requests of lower levels go first.
   */
  public int level(WeightedTenant tenant) {
    Usage usage = usages.get(tenant.name());
    if (usage == null || usages.size() < 2) {
      return 0;
    }
    if (usage.levelledAt != sends) {
      usage.levelledAt = sends;
      usage.level = toLevel(usage.work / usage.weight * totalWeight / totalWork);
    }
    return usage.level;
  }

  private static int toLevel(double ratio) {
    return ratio <= LEVEL_RATIO
        ? 0
        : (int) Math.min(MAX_LEVEL, Math.log(ratio) / Math.log(LEVEL_RATIO));
  }

  /** Returns the number of tracked tenants. */
  public int size() {
    return usages.size();
  }
}
