package org.foxtailford.core.load;

import java.util.Map;
import java.util.TreeMap;
import org.apache.datasketches.frequencies.LongsSketch;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.KeyLoadValue;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.ServiceLoadValue;

/**
 * Counts the requests that one entry VM sends to owners, per slice and for the hottest keys.
 *
 * <p>Memory use depends on the number of slices, not on the number of keys. Thread-safe; a single
 * lock guards all state.
 */
public final class SliceLoadRecorder {

  /** Maximum number of hot keys per service in a report. */
  public static final int HOT_KEYS_PER_REPORT = 64;

  private final String vm;
  private final long bootId;
  private final Map<String, ServiceCounts> services = new TreeMap<>();
  private long sequence;

  /** Counts of one service since the last report. */
  private static final class ServiceCounts {
    private final SliceLayout layout;
    private final int[] requests;
    private final LongsSketch keys = new LongsSketch(HotKeySketch.MAX_MAP_SIZE);

    ServiceCounts(SliceLayout layout) {
      this.layout = layout;
      this.requests = new int[layout.size()];
    }
  }

  /**
   * Creates a recorder.
   *
   * @param vm name of this VM
   * @param bootId identifies the incarnation of the process
   */
  public SliceLoadRecorder(String vm, long bootId) {
    this.vm = Assert.hasLength(vm, "vm");
    this.bootId = bootId;
  }

  /** Sets the slices of a service. If they differ from the current ones, its counts are dropped. */
  public synchronized void useLayout(String service, SliceLayout layout) {
    ServiceCounts counts = services.get(service);
    if (counts == null || counts.layout.fingerprint() != layout.fingerprint()) {
      services.put(service, new ServiceCounts(layout));
    }
  }

  /** Counts a request sent to the owner of a key; ignored if no slice contains the key. */
  public synchronized void record(String service, long keyHash) {
    ServiceCounts counts = services.get(service);
    if (counts == null) {
      return;
    }
    int index = counts.layout.indexOf(keyHash);
    if (index >= 0) {
      counts.requests[index]++;
      counts.keys.update(keyHash);
    }
  }

  /** Returns a report of the counts since the last report, and resets them. */
  public synchronized LoadReport report() {
    LoadReport.Builder report =
        LoadReport.newBuilder().setVm(vm).setBootId(bootId).setSequence(++sequence);
    services.forEach((service, counts) -> report.addServices(toValue(service, counts)));
    discard();
    return report.build();
  }

  /** Drops the counts since the last report, for use when they span too long a period. */
  public synchronized void discard() {
    services.replaceAll((service, counts) -> new ServiceCounts(counts.layout));
  }

  private static ServiceLoadValue toValue(String service, ServiceCounts counts) {
    ServiceLoadValue.Builder value =
        ServiceLoadValue.newBuilder().setService(service).setLayout(counts.layout.fingerprint());
    for (int requests : counts.requests) {
      value.addRequests(requests);
    }
    for (LongsSketch.Row row : HotKeySketch.topRows(counts.keys, HOT_KEYS_PER_REPORT)) {
      value.addHotKeys(
          KeyLoadValue.newBuilder()
              .setKeyHash(row.getItem())
              .setRequests((int) Math.min(Integer.MAX_VALUE, row.getLowerBound())));
    }
    return value.build();
  }
}
