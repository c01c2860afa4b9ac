package org.foxtailford.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

public class UpstreamDirectoryTests {

  private static UpstreamEntry entry(String id, long bornMs, boolean draining) {
    return new UpstreamEntry(
        id, bornMs, "s", new UpstreamAddress("10.0.0.1", 80), "dc", 4, draining, 0);
  }

  private static UpstreamDirectory directory() {
    UpstreamDirectory directory = new UpstreamDirectory();
    directory.put(entry("u", 1, false), 0);
    return directory;
  }

  @Test
  public void removalTakesEffectImmediatelyWhileTheStoreIsReachable() {
    UpstreamDirectory directory = directory();
    assertThat(directory.remove("u", 100)).isTrue();
    assertThat(directory.usable("s")).isEmpty();
  }

  @Test
  public void entryThatLapsedInAnOutageStaysUsableForTheGracePeriod() {
    UpstreamDirectory directory = directory();
    directory.onStoreLost();
    assertThat(directory.remove("u", 100)).isFalse();
    assertThat(directory.usable("s")).hasSize(1);
    directory.onStoreRegained(5000);
    assertThat(directory.removeLapsed(5000 + UpstreamDirectory.STORE_RECOVERY_GRACE_MS - 1))
        .isEmpty();
    assertThat(directory.removeLapsed(5000 + UpstreamDirectory.STORE_RECOVERY_GRACE_MS))
        .isEqualTo(List.of("u"));
    assertThat(directory.usable("s")).isEmpty();
  }

  @Test
  public void entryThatLapsesShortlyAfterTheOutageStaysUsableToo() {
    UpstreamDirectory directory = directory();
    directory.onStoreLost();
    directory.onStoreRegained(5000);
    assertThat(directory.remove("u", 5100)).isFalse();
    directory.put(entry("u", 1, false), 5600);
    assertThat(directory.removeLapsed(9000)).isEmpty();
    assertThat(directory.usable("s")).hasSize(1);
  }

  @Test
  public void drainingUpstreamIsRemovedEvenInAnOutage() {
    UpstreamDirectory directory = directory();
    directory.put(entry("u", 1, true), 10);
    assertThat(directory.usable("s")).isEmpty();
    directory.onStoreLost();
    assertThat(directory.remove("u", 100)).isTrue();
  }

  @Test
  public void evacuatedDataCentreIsUnusableUntilTheEvacuationEnds() {
    UpstreamDirectory directory = directory();
    directory.setEvacuated(List.of("dc"));
    assertThat(directory.usable("s")).isEmpty();
    directory.setEvacuated(List.of());
    assertThat(directory.usable("s")).hasSize(1);
  }

  @Test
  public void entryOfAnEarlierIncarnationIsNotUsable() {
    UpstreamDirectory directory = directory();
    directory.put(entry("u", 2, false), 50);
    assertThat(directory.isUsable(entry("u", 1, false))).isFalse();
    assertThat(directory.isUsable(entry("u", 2, false))).isTrue();
  }

  @Test
  public void coldTimeCountsFromTheRegistration() {
    UpstreamDirectory directory = new UpstreamDirectory();
    UpstreamAddress address = new UpstreamAddress("10.0.0.1", 80);
    directory.put(new UpstreamEntry("u", 1, "s", address, "dc", 4, false, 3000), 1000);
    assertThat(directory.isCold("u", 3999)).isTrue();
    assertThat(directory.isCold("u", 4000)).isFalse();
  }

  @Test
  public void leavingUpstreamStaysUnusableUntilAnotherIncarnation() {
    UpstreamDirectory directory = directory();
    assertThat(directory.markLeaving("u", 1, 100)).isTrue();
    assertThat(directory.markLeaving("u", 1, 200)).as("heard again").isFalse();
    directory.put(entry("u", 1, false), 300);
    assertThat(directory.usable("s")).isEmpty();
    assertThat(directory.leaving()).extracting(UpstreamEntry::id).containsExactly("u");
    directory.put(entry("u", 2, false), 400);
    assertThat(directory.usable("s")).hasSize(1);
    assertThat(directory.leaving()).isEmpty();
  }

  @Test
  public void leavingOfAnEarlierIncarnationIsIgnored() {
    UpstreamDirectory directory = directory();
    assertThat(directory.markLeaving("u", 0, 100)).isFalse();
    assertThat(directory.markLeaving("other", 1, 100)).isFalse();
    assertThat(directory.usable("s")).hasSize(1);
  }

  @Test
  public void leavingOwnerServesItsKeysForAWhileUnlessItIsRegisteredAsDraining() {
    UpstreamDirectory directory = directory();
    directory.markLeaving("u", 1, 100);
    assertThat(directory.mayServeKeys(entry("u", 1, false), 500, 599)).isTrue();
    assertThat(directory.mayServeKeys(entry("u", 1, false), 500, 600)).isFalse();
    directory.put(entry("u", 1, true), 200);
    assertThat(directory.mayServeKeys(entry("u", 1, false), 500, 300)).isFalse();
  }

  @Test
  public void restoredStoreDoesNotBringBackWhatWasDrainingOrGone() {
    UpstreamDirectory directory = directory();
    directory.put(entry("u", 1, true), 10);
    directory.put(entry("v", 1, false), 10);
    directory.remove("v", 20);
    assertThat(directory.putRestored(entry("u", 1, false), 30)).isFalse();
    assertThat(directory.putRestored(entry("v", 1, false), 30)).isFalse();
    assertThat(directory.usable("s")).isEmpty();
    directory.put(entry("v", 1, false), 900);
    assertThat(directory.usable("s")).as("registered again").hasSize(1);
    assertThat(directory.putRestored(entry("u", 2, false), 30)).as("another incarnation").isTrue();
  }
}
