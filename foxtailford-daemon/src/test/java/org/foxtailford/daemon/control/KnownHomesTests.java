package org.foxtailford.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.schema.HomesRow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KnownHomesTests {

  private static final String SERVICE = "menu-planning";
  private static final HomesRow FIRST = row(SERVICE, 1, "dc-a");
  private static final HomesRow SECOND = row(SERVICE, 2, "dc-b");

  private final List<HomesRow> announced = new ArrayList<>();
  private RoutingState state;
  private KnownHomes known;

  @BeforeMethod
  public void create() {
    announced.clear();
    state = new RoutingState("dc-a");
    known = new KnownHomes(state, announced::add);
  }

  @Test
  public void newerRowReadFromTheTableIsAnnouncedOnce() {
    known.read(List.of(FIRST), 10);
    known.read(List.of(FIRST), 20);
    assertThat(announced).containsExactly(FIRST);
  }

  @Test
  public void receivedRowTakesEffectAtOnceWithoutChangingTheReadTime() {
    known.read(List.of(FIRST), 10);
    assertThat(known.receive(SECOND)).isTrue();
    assertThat(home()).isEqualTo("dc-b");
    assertThat(state.homes().asOfMs()).isEqualTo(10);
  }

  @Test
  public void staleReadDoesNotReplaceANewerReceivedRow() {
    known.read(List.of(FIRST), 10);
    known.receive(SECOND);
    known.read(List.of(FIRST), 20);
    assertThat(home()).isEqualTo("dc-b");
  }

  @Test
  public void repeatedReceivedRowIsIgnored() {
    known.read(List.of(FIRST), 10);
    assertThat(known.receive(SECOND)).isTrue();
    assertThat(known.receive(SECOND)).isFalse();
    assertThat(announced).containsExactly(FIRST);
  }

  @Test
  public void receivedRowOfAServiceMissingFromTheLastReadIsIgnored() {
    known.read(List.of(FIRST), 10);
    assertThat(known.receive(row("prices", 7, "dc-b"))).isFalse();
    assertThat(state.homes().directory().services()).containsExactly(SERVICE);
  }

  private String home() {
    return state.homes().directory().home(SERVICE, 0).orElseThrow();
  }

  private static HomesRow row(String service, long version, String dataCentre) {
    return HomesRow.newBuilder()
        .setKey("homes-" + service)
        .setVersion(version)
        .setHomes(HomeDirectory.initial(service, 1, List.of(dataCentre)))
        .build();
  }
}
