package org.foxtailford.daemon.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.util.Assert;
import org.foxtailford.core.util.RendezvousHashing;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.PeerFrame;

/**
 * Links to other entry VMs: a few to each other data centre, all within a small data centre of its
 * own, and the neighbours in the dissemination tree within a large one.
 *
 * <p>Thread-safe.
 */
public final class PeerNetwork implements PeerMessenger, AutoCloseable {

  /** Data centres up to this size have a link between any two of their entry VMs. */
  public static final int FULL_MESH_LIMIT = 64;

  /** Links that one entry VM keeps to each other data centre. */
  public static final int LINKS_PER_DATA_CENTRE = 3;

  private final PeerIdentity self;
  private final Function<Endpoint, PeerLink> newLink;
  private final RandomGenerator random;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  /**
   * Creates a network without links.
   *
   * @param self this VM
   * @param newLink creates a closed link to an address
   * @param random draws among links to the same data centre; must be thread-safe
   */
  public PeerNetwork(
      PeerIdentity self, Function<Endpoint, PeerLink> newLink, RandomGenerator random) {
    this.self = Assert.notNull(self, "self");
    this.newLink = Assert.notNull(newLink, "newLink");
    this.random = Assert.notNull(random, "random");
  }

  /** {@inheritDoc} It also connects links that are closed. */
  @Override
  public void update(List<Member> members, Collection<String> neighbours) {
    Map<String, Endpoint> wanted = new ConcurrentHashMap<>();
    members.stream()
        .filter(member -> isWanted(member, members, neighbours))
        .forEach(member -> wanted.put(member.vm(), member.address()));
    links.forEach((vm, link) -> closeUnlessWanted(wanted, vm, link));
    wanted.forEach((vm, address) -> links.computeIfAbsent(vm, v -> newLink.apply(address)));
    links.values().forEach(PeerLink::connect);
  }

  private boolean isWanted(Member member, List<Member> members, Collection<String> neighbours) {
    if (member.vm().equals(self.vm())) {
      return false;
    }
    List<String> sameDataCentre =
        members.stream()
            .filter(other -> other.dataCentre().equals(member.dataCentre()))
            .filter(Member::isUsable)
            .map(Member::vm)
            .toList();
    if (member.dataCentre().equals(self.dataCentre())) {
      return sameDataCentre.size() <= FULL_MESH_LIMIT || neighbours.contains(member.vm());
    }
    return RendezvousHashing.rank(self.vm(), sameDataCentre).stream()
        .limit(LINKS_PER_DATA_CENTRE)
        .anyMatch(member.vm()::equals);
  }

  private void closeUnlessWanted(Map<String, Endpoint> wanted, String vm, PeerLink link) {
    if (!link.endpoint().equals(wanted.get(vm))) {
      links.remove(vm, link);
      link.close();
    }
  }

  @Override
  public void send(String vm, PeerFrame frame) {
    PeerLink link = links.get(vm);
    if (link != null) {
      link.send(frame);
    }
  }

  /** Returns the open link to an entry VM. */
  public Optional<PeerLink> to(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.remote().isPresent());
  }

  /** Sends a message to every entry VM. */
  public void broadcast(PeerFrame frame) {
    links.values().forEach(link -> link.send(frame));
  }

  /** Returns the open link to an entry VM. */
  public Optional<PeerLink> linkTo(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.remote().isPresent());
  }

  /** Returns an open link to some entry VM of a data centre. */
  public Optional<PeerLink> anyIn(String dataCentre) {
    List<PeerLink> open = links.values().stream().filter(link -> isIn(link, dataCentre)).toList();
    if (open.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(open.get(random.nextInt(open.size())));
  }

  @Override
  public List<String> openIn(String dataCentre) {
    return links.entrySet().stream()
        .filter(entry -> isIn(entry.getValue(), dataCentre))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the names of the entry VMs of other data centres with an open link. */
  public List<String> openElsewhere() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().remote().isPresent())
        .filter(entry -> !isIn(entry.getValue(), self.dataCentre()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of entry VMs of a data centre that are linked to this one. */
  public int countIn(String dataCentre) {
    return (int) links.values().stream().filter(link -> isIn(link, dataCentre)).count();
  }

  private static boolean isIn(PeerLink link, String dataCentre) {
    return link.remote().filter(remote -> remote.dataCentre().equals(dataCentre)).isPresent();
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
