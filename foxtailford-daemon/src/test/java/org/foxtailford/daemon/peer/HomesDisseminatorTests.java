package org.foxtailford.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.daemon.control.KnownHomes;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.HomesRow;
import org.foxtailford.schema.PeerFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link HomesDisseminator} with two data centres of 40 entry VMs. Every VM has read the
 * first version of a row.
 */
public class HomesDisseminatorTests {

  private static final int VMS = 40;
  private static final HomesRow FIRST = row(1, "dc-a");
  private static final HomesRow SECOND = row(2, "dc-b");

  private final Map<String, Node> nodes = new TreeMap<>();
  private final Deque<Runnable> messages = new ArrayDeque<>();
  private int sent;

  @BeforeMethod
  public void create() {
    nodes.clear();
    messages.clear();
    for (String dataCentre : List.of("dc-a", "dc-b")) {
      names(dataCentre).forEach(vm -> nodes.put(vm, new Node(vm, dataCentre)));
    }
    nodes.values().forEach(node -> node.knownHomes.read(List.of(FIRST), 0));
    messages.clear();
    sent = 0;
  }

  @Test
  public void rowReadByOneVmReachesEveryVmOfBothDataCentres() {
    nodes.get("dc-a-07").knownHomes.read(List.of(SECOND), 1);
    deliverAll();
    assertThat(nodes.values()).allMatch(node -> node.home().equals("dc-b"));
  }

  @Test
  public void eachVmForwardsRowToItsNeighboursAtMostOnce() {
    nodes.get("dc-a-07").knownHomes.read(List.of(SECOND), 1);
    deliverAll();
    int alongTrees = 2 * 2 * (VMS - 1);
    assertThat(sent).isLessThanOrEqualTo(alongTrees + 1);
  }

  private void deliverAll() {
    while (!messages.isEmpty()) {
      messages.poll().run();
    }
  }

  private static List<String> names(String dataCentre) {
    return IntStream.range(0, VMS).mapToObj(i -> String.format("%s-%02d", dataCentre, i)).toList();
  }

  private static HomesRow row(long version, String dataCentre) {
    return HomesRow.newBuilder()
        .setKey("homes-menu-planning")
        .setVersion(version)
        .setHomes(HomeDirectory.initial("menu-planning", 1, List.of(dataCentre)))
        .build();
  }

  /**
   * Simulates an entry VM linked to its neighbours in the tree and to one of the other data centre.
   */
  private final class Node implements PeerMessenger {

    private final PeerIdentity self;
    private final RoutingState state;
    private final KnownHomes knownHomes;
    private final HomesDisseminator disseminator;

    Node(String vm, String dataCentre) {
      self = new PeerIdentity("system", vm, dataCentre, 1);
      state = new RoutingState(dataCentre);
      knownHomes = new KnownHomes(state, this::announce);
      DisseminationTree tree =
          DisseminationTree.of(
              dataCentre, Optional.empty(), names(dataCentre), DisseminationTree.FAN_OUT);
      String other = dataCentre.equals("dc-a") ? "dc-b-00" : "dc-a-00";
      disseminator =
          new HomesDisseminator(self, knownHomes, this, () -> tree, () -> List.of(other));
    }

    private void announce(HomesRow row) {
      disseminator.announce(row);
    }

    String home() {
      return state.homes().directory().home("menu-planning", 0).orElseThrow();
    }

    @Override
    public void send(String vm, PeerFrame frame) {
      sent++;
      messages.add(() -> nodes.get(vm).disseminator.onFrame(self, frame));
    }

    @Override
    public void update(List<Member> members, Collection<String> neighbours) {
      throw new AssertionError("unexpected update of links");
    }

    @Override
    public List<String> openIn(String dataCentre) {
      throw new AssertionError("receivers are determined by the tree");
    }
  }
}
