package org.foxtailford.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.testng.annotations.Test;

public class ConfigurationSightingsTests {

  @Test
  public void versionsOfSilentVmsExpire() {
    FakeMillisClock clock = new FakeMillisClock();
    ConfigurationSightings sightings = new ConfigurationSightings(clock);
    sightings.add("a", 3);
    clock.advance(6000);
    sightings.add("b", 4);
    assertThat(sightings.versions()).isEqualTo(Map.of("a", 3L, "b", 4L));
    clock.advance(6000);
    assertThat(sightings.versions()).isEqualTo(Map.of("b", 4L));
  }
}
