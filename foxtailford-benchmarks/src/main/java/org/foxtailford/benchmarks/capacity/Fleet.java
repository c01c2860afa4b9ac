package org.foxtailford.benchmarks.capacity;

/**
 * A way to read the size to design for.
 *
 * @param name name of the reading
 * @param entryVms entry VMs in all
 * @param upstreams upstreams in all
 */
record Fleet(String name, int entryVms, int upstreams) {

  static final int DATA_CENTRES = 11;
  static final double REQUESTS_PER_S = 8.5e6;

  int entryVmsPerDataCentre() {
    return (int) Math.ceil((double) entryVms / DATA_CENTRES);
  }

  int upstreamsPerDataCentre() {
    return (int) Math.ceil((double) upstreams / DATA_CENTRES);
  }

  int slicesPerDataCentre() {
    return upstreamsPerDataCentre() * Slopes.SLICES_PER_UPSTREAM;
  }

  int vms() {
    return entryVms + upstreams;
  }

  double requestsPerEntryVm() {
    return REQUESTS_PER_S / entryVms;
  }
}
