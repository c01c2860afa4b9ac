package org.foxtailford.testkit.simulation;

import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * Places of a simulated system. VMs are dealt out to the data centres in turn.
 *
 * @param dataCentres names of the data centres
 * @param entryVms entry VMs of all data centres
 * @param upstreams upstreams of all data centres
 * @param slices slices of the keyed service
 * @param readsPlatform whether entry VMs read configuration, VM list and homes from the table; if
 *     not, they know them at once
 */
record SystemLayout(
    List<String> dataCentres, int entryVms, int upstreams, int slices, boolean readsPlatform) {

  /** Name of the only data centre of a system that names none. */
  static final String ONLY_DATA_CENTRE = "dc-a";

  SystemLayout {
    Assert.isTrue(!dataCentres.isEmpty(), "dataCentres must not be empty");
    dataCentres = List.copyOf(dataCentres);
  }

  /** Returns one data centre whose entry VMs know configuration and homes at once. */
  static SystemLayout oneDataCentre(int entryVms, int upstreams, int slices) {
    return new SystemLayout(List.of(ONLY_DATA_CENTRE), entryVms, upstreams, slices, false);
  }

  /** Returns the data centre of the entry VM or upstream with a number. */
  String dataCentreOf(int number) {
    return dataCentres.get(number % dataCentres.size());
  }

  /** Returns the same places with another number of slices. */
  SystemLayout withSlices(int newSlices) {
    return new SystemLayout(dataCentres, entryVms, upstreams, newSlices, readsPlatform);
  }
}
