package org.foxtailford.benchmarks.requests;

import java.util.List;

/** Sizes of the two customers' services without keys. */
enum CustomerSize {
  CONSORTIUM(
      3,
      9,
      6,
      500,
      List.of(
          new Pool("pledges", 8, false),
          new Pool("rations", 6, true),
          new Pool("pantry", 6, true))),
  CITY(
      4,
      10,
      4,
      250,
      List.of(
          new Pool("changes", 8, false),
          new Pool("firmware", 8, true),
          new Pool("audit", 8, true)));

  private final int dataCentres;
  private final int entryVms;
  private final int slots;
  private final long remoteOneWayMicros;
  private final List<Pool> pools;

  CustomerSize(
      int dataCentres, int entryVms, int slots, long remoteOneWayMicros, List<Pool> pools) {
    this.dataCentres = dataCentres;
    this.entryVms = entryVms;
    this.slots = slots;
    this.remoteOneWayMicros = remoteOneWayMicros;
    this.pools = pools;
  }

  /**
   * A service.
   *
   * @param name its name
   * @param upstreams number of its upstreams
   * @param idempotent whether its requests are idempotent
   */
  record Pool(String name, int upstreams, boolean idempotent) {}

  int dataCentres() {
    return dataCentres;
  }

  int entryVms() {
    return entryVms;
  }

  int slots() {
    return slots;
  }

  long remoteOneWayMicros() {
    return remoteOneWayMicros;
  }

  List<Pool> pools() {
    return pools;
  }

  int upstreams() {
    return pools.stream().mapToInt(Pool::upstreams).sum();
  }

  /** Returns the data centre of the entry VM or upstream with a number. */
  String dataCentreOf(int number) {
    return "dc" + number % dataCentres;
  }
}
