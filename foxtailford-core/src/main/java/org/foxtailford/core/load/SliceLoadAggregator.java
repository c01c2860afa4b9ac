package org.foxtailford.core.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.KeyLoadValue;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.ServiceLoadValue;

/**
 * Aggregates the load reports of the entry VMs of a data centre into an exponentially decayed load
 * per slice.
 *
 * <p>The only state per entry VM is a summary of its last report, so memory use depends mainly on
 * the number of slices. A delayed report counts when it arrives. The aggregator drops duplicate
 * reports, all but the first of several reports that a slow link delivers together, reports that
 * claim many times the requests of the other entry VMs, malformed reports, and counts for a layout
 * that is no longer retained. Not thread-safe.
 */
public final class SliceLoadAggregator {

  /** Default half-life of the weight of a request, in milliseconds. */
  public static final long HALF_LIFE_MS = LoadAwarePolicy.LOAD_HALF_LIFE_MS;

  private static final int MAX_EARLIER_LAYOUTS = 8;
  private static final int MAX_HOT_KEYS = 1024;
  private static final double MS_PER_S = 1000;
  private static final long MIN_REPORT_INTERVAL_MS = 900;
  private static final int MIN_OTHER_REPORTERS = 3;
  private static final int MAX_MEDIAN_RATIO = 8;
  private static final long ALWAYS_CREDIBLE_REQUESTS = 10_000;

  private final MillisClock clock;
  private final long halfLifeMs;
  private final Map<String, LastReport> lastReports = new HashMap<>();
  private final Map<String, ServiceLoad> services = new HashMap<>();

  /** Last well-formed report of an entry VM, whether or not it was credible. */
  private record LastReport(long bootId, long sequence, long acceptedMs, long requests) {}

  /** Decayed request counts and hot keys of one service. */
  private final class ServiceLoad {
    private final Deque<SliceLayout> earlier = new ArrayDeque<>();
    private final HotKeySketch hotKeys = new HotKeySketch(halfLifeMs, clock.nowMs());
    private SliceLayout layout;
    private double[] totals;
    private long decayedAtMs = clock.nowMs();

    ServiceLoad(SliceLayout layout) {
      this.layout = layout;
      this.totals = new double[layout.size()];
    }

    private void decay() {
      long nowMs = clock.nowMs();
      double factor = Math.pow(0.5, (double) (nowMs - decayedAtMs) / halfLifeMs);
      for (int i = 0; i < totals.length; i++) {
        totals[i] *= factor;
      }
      decayedAtMs = nowMs;
    }
  }

  /**
   * Creates an aggregator without services.
   *
   * @param clock clock of this VM
   * @param halfLifeMs half-life of the weight of a request, in milliseconds; positive
   */
  public SliceLoadAggregator(MillisClock clock, long halfLifeMs) {
    Assert.isTrue(halfLifeMs > 0, "halfLifeMs must be positive");
    this.clock = Assert.notNull(clock, "clock");
    this.halfLifeMs = halfLifeMs;
  }

  /** Sets the slices of a service and projects its current load onto them. */
  public void useLayout(String service, SliceLayout layout) {
    ServiceLoad load = services.computeIfAbsent(service, name -> new ServiceLoad(layout));
    if (load.layout.fingerprint() == layout.fingerprint()) {
      return;
    }
    List<KeyLoad> hot = scale(load.hotKeys.hottest(MAX_HOT_KEYS, clock.nowMs()), 1 / rateFactor());
    load.totals = load.layout.project(load.totals, layout, hot);
    remember(load, load.layout);
    load.layout = layout;
  }

  /** Also accepts reports that refer to the given layout of a service, besides its current one. */
  public void rememberLayout(String service, SliceLayout layout) {
    remember(services.computeIfAbsent(service, name -> new ServiceLoad(layout)), layout);
  }

  private static void remember(ServiceLoad load, SliceLayout layout) {
    load.earlier.removeIf(earlier -> earlier.fingerprint() == layout.fingerprint());
    load.earlier.addFirst(layout);
    if (load.earlier.size() > MAX_EARLIER_LAYOUTS) {
      load.earlier.removeLast();
    }
  }

  /**
   * Adds the counts of a report, unless it is a duplicate, malformed or not credible.
   *
   * @return whether the report was accepted
   */
  public boolean accept(LoadReport report) {
    long nowMs = clock.nowMs();
    LastReport last = lastReports.get(report.getVm());
    boolean sameIncarnation = last != null && last.bootId() == report.getBootId();
    if (sameIncarnation && report.getSequence() <= last.sequence()) {
      return false;
    }
    boolean tooSoon = sameIncarnation && nowMs - last.acceptedMs() < MIN_REPORT_INTERVAL_MS;
    if (tooSoon || !isWellFormed(report)) {
      return false;
    }
    long requests = countRequests(report);
    boolean credible = isCredible(report.getVm(), requests);
    lastReports.put(
        report.getVm(), new LastReport(report.getBootId(), report.getSequence(), nowMs, requests));
    if (credible) {
      report.getServicesList().forEach(this::add);
    }
    return credible;
  }

  private static boolean isWellFormed(LoadReport report) {
    return report.getServicesList().stream()
        .allMatch(
            service ->
                service.getRequestsList().stream().allMatch(count -> count >= 0)
                    && service.getHotKeysList().stream().allMatch(key -> key.getRequests() >= 0));
  }

  private static long countRequests(LoadReport report) {
    return report.getServicesList().stream()
        .flatMap(service -> service.getRequestsList().stream())
        .mapToLong(Integer::longValue)
        .sum();
  }

  /**
   * Compares a request count with the median of the other entry VMs. The counts are similar because
   * the load balancer distributes callers over all entry VMs.
   */
  private boolean isCredible(String vm, long requests) {
    long[] others =
        lastReports.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(vm))
            .mapToLong(entry -> entry.getValue().requests())
            .sorted()
            .toArray();
    return requests <= ALWAYS_CREDIBLE_REQUESTS
        || others.length < MIN_OTHER_REPORTERS
        || requests <= MAX_MEDIAN_RATIO * others[others.length / 2];
  }

  /** Removes the state of entry VMs that are not in the list. */
  public void retainReporters(List<String> vms) {
    lastReports.keySet().retainAll(vms);
  }

  private void add(ServiceLoadValue value) {
    ServiceLoad load = services.get(value.getService());
    if (load == null) {
      return;
    }
    load.decay();
    findCounts(load, value).ifPresent(counts -> addAll(load.totals, counts));
    for (KeyLoadValue key : value.getHotKeysList()) {
      load.hotKeys.record(key.getKeyHash(), key.getRequests(), clock.nowMs());
    }
  }

  private static Optional<double[]> findCounts(ServiceLoad load, ServiceLoadValue value) {
    double[] counts = value.getRequestsList().stream().mapToDouble(Integer::doubleValue).toArray();
    if (value.getLayout() == load.layout.fingerprint() && counts.length == load.layout.size()) {
      return Optional.of(counts);
    }
    List<KeyLoad> hot =
        value.getHotKeysList().stream()
            .map(key -> new KeyLoad(key.getKeyHash(), key.getRequests()))
            .toList();
    return load.earlier.stream()
        .filter(layout -> layout.fingerprint() == value.getLayout())
        .filter(layout -> layout.size() == counts.length)
        .findFirst()
        .map(layout -> layout.project(counts, load.layout, hot));
  }

  private static void addAll(double[] totals, double[] counts) {
    for (int i = 0; i < totals.length; i++) {
      totals[i] += counts[i];
    }
  }

  /**
   * Returns the requests per second of each slice, in the order of the layout of the service; empty
   * for an unknown service.
   */
  public double[] rates(String service) {
    ServiceLoad load = services.get(service);
    if (load == null) {
      return new double[0];
    }
    load.decay();
    double[] rates = load.totals.clone();
    for (int i = 0; i < rates.length; i++) {
      rates[i] *= rateFactor();
    }
    return rates;
  }

  /** Returns the hottest keys of a service by descending rate; empty for an unknown service. */
  public List<KeyLoad> hotKeys(String service) {
    ServiceLoad load = services.get(service);
    return load == null ? List.of() : load.hotKeys.hottest(MAX_HOT_KEYS, clock.nowMs());
  }

  private double rateFactor() {
    return Math.log(2) * MS_PER_S / halfLifeMs;
  }

  private static List<KeyLoad> scale(List<KeyLoad> keys, double factor) {
    return keys.stream().map(key -> new KeyLoad(key.keyHash(), key.rate() * factor)).toList();
  }
}
