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
 * Merges the reports of a data centre's entry VMs into a decayed load by slice.
 *
 * <p>There is no state by entry VM but the number of its last report, so memory depends on the
 * number of slices alone. A late report counts when it arrives. Dropped are repeated ones, all but
 * the first of those that a slow link delivers at once, ones that claim many times what the other
 * entry VMs send, malformed ones, and counts of slices that are no longer remembered. Not
 * thread-safe.
 */
public final class SliceLoadAggregator {

  /** Usual time in which the weight of a request halves, in milliseconds. */
  public static final long HALF_LIFE_MS = LoadAwarePolicy.LOAD_HALF_LIFE_MS;

  private static final int REMEMBERED_LAYOUTS = 8;
  private static final int HOT_KEYS = 1024;
  private static final double MS_PER_S = 1000;
  private static final long MIN_GAP_MS = 900;
  private static final int MIN_OTHER_REPORTERS = 3;
  private static final int MAX_TIMES_OTHERS = 8;
  private static final long UNDOUBTED_REQUESTS = 10_000;

  private final MillisClock clock;
  private final long halfLifeMs;
  private final Map<String, LastReport> lastReports = new HashMap<>();
  private final Map<String, ServiceBook> services = new HashMap<>();

  private record LastReport(long bootId, long sequence, long acceptedMs, long requests) {}

  /** Decayed counts of one service. */
  private final class ServiceBook {
    private final Deque<SliceLayout> earlier = new ArrayDeque<>();
    private final HotKeySketch hotKeys = new HotKeySketch(halfLifeMs, clock.nowMs());
    private SliceLayout layout;
    private double[] totals;
    private long decayedAtMs = clock.nowMs();

    ServiceBook(SliceLayout layout) {
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
   * Creates an empty book.
   *
   * @param clock this VM's clock
   * @param halfLifeMs time in which the weight of a request halves, in milliseconds
   */
  public SliceLoadAggregator(MillisClock clock, long halfLifeMs) {
    Assert.isTrue(halfLifeMs > 0, "halfLifeMs must be positive");
    this.clock = Assert.notNull(clock, "clock");
    this.halfLifeMs = halfLifeMs;
  }

  /** Takes the slices of a service; known load is carried over to them. */
  public void useLayout(String service, SliceLayout layout) {
    ServiceBook book = services.computeIfAbsent(service, name -> new ServiceBook(layout));
    if (book.layout.fingerprint() == layout.fingerprint()) {
      return;
    }
    List<KeyLoad> hot = scaled(book.hotKeys.hottest(HOT_KEYS, clock.nowMs()), 1 / rateFactor());
    book.totals = book.layout.project(book.totals, layout, hot);
    remember(book, book.layout);
    book.layout = layout;
  }

  /** Takes counts of other slices of a service too, from reports that are made under them. */
  public void rememberLayout(String service, SliceLayout layout) {
    remember(services.computeIfAbsent(service, name -> new ServiceBook(layout)), layout);
  }

  private static void remember(ServiceBook book, SliceLayout layout) {
    book.earlier.removeIf(earlier -> earlier.fingerprint() == layout.fingerprint());
    book.earlier.addFirst(layout);
    if (book.earlier.size() > REMEMBERED_LAYOUTS) {
      book.earlier.removeLast();
    }
  }

  /**
   * Takes a report.
   *
   * @return whether it was counted
   */
  public boolean accept(LoadReport report) {
    long nowMs = clock.nowMs();
    LastReport last = lastReports.get(report.getVm());
    boolean sameStart = last != null && last.bootId() == report.getBootId();
    if (sameStart && report.getSequence() <= last.sequence()) {
      return false;
    }
    boolean atOnce = sameStart && nowMs - last.acceptedMs() < MIN_GAP_MS;
    if (atOnce || !isWellFormed(report)) {
      return false;
    }
    long requests = requests(report);
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

  private static long requests(LoadReport report) {
    return report.getServicesList().stream()
        .flatMap(service -> service.getRequestsList().stream())
        .mapToLong(Integer::longValue)
        .sum();
  }

  /** Compares with the median of the others, since the balancer spreads callers over all VMs. */
  private boolean isCredible(String vm, long requests) {
    long[] others =
        lastReports.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(vm))
            .mapToLong(entry -> entry.getValue().requests())
            .sorted()
            .toArray();
    return requests <= UNDOUBTED_REQUESTS
        || others.length < MIN_OTHER_REPORTERS
        || requests <= MAX_TIMES_OTHERS * others[others.length / 2];
  }

  /** Forgets the entry VMs that are not in the list any more. */
  public void retainReporters(List<String> vms) {
    lastReports.keySet().retainAll(vms);
  }

  private void add(ServiceLoadValue value) {
    ServiceBook book = services.get(value.getService());
    if (book == null) {
      return;
    }
    book.decay();
    counts(book, value).ifPresent(counts -> addAll(book.totals, counts));
    for (KeyLoadValue key : value.getHotKeysList()) {
      book.hotKeys.record(key.getKeyHash(), key.getRequests(), clock.nowMs());
    }
  }

  private static Optional<double[]> counts(ServiceBook book, ServiceLoadValue value) {
    double[] counts = value.getRequestsList().stream().mapToDouble(Integer::doubleValue).toArray();
    if (value.getLayout() == book.layout.fingerprint() && counts.length == book.layout.size()) {
      return Optional.of(counts);
    }
    List<KeyLoad> hot =
        value.getHotKeysList().stream()
            .map(key -> new KeyLoad(key.getKeyHash(), key.getRequests()))
            .toList();
    return book.earlier.stream()
        .filter(layout -> layout.fingerprint() == value.getLayout())
        .filter(layout -> layout.size() == counts.length)
        .findFirst()
        .map(layout -> layout.project(counts, book.layout, hot));
  }

  private static void addAll(double[] totals, double[] counts) {
    for (int i = 0; i < totals.length; i++) {
      totals[i] += counts[i];
    }
  }

  /** Returns the requests a second of each slice, in the order of the service's layout. */
  public double[] rates(String service) {
    ServiceBook book = services.get(service);
    if (book == null) {
      return new double[0];
    }
    book.decay();
    double[] rates = book.totals.clone();
    for (int i = 0; i < rates.length; i++) {
      rates[i] *= rateFactor();
    }
    return rates;
  }

  /** Returns the busiest keys of a service, busiest first. */
  public List<KeyLoad> hotKeys(String service) {
    ServiceBook book = services.get(service);
    return book == null ? List.of() : book.hotKeys.hottest(HOT_KEYS, clock.nowMs());
  }

  private double rateFactor() {
    return Math.log(2) * MS_PER_S / halfLifeMs;
  }

  private static List<KeyLoad> scaled(List<KeyLoad> keys, double factor) {
    return keys.stream().map(key -> new KeyLoad(key.keyHash(), key.rate() * factor)).toList();
  }
}
