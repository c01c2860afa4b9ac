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
 * Maintains the links of an entry VM to its peers: within its own data centre to all of them up to
 * {@link #FULL_MESH_LIMIT} and to its neighbours in the dissemination tree above that, and to
 * {@link #LINKS_PER_DATA_CENTRE} entry VMs of each other data centre.
 *
 * <p>Thread-safe.
 */
public final class PeerNetwork implements PeerMessenger, AutoCloseable {

  /** Maximum number of usable entry VMs of a data centre that are linked as a full mesh. */
  public static final int FULL_MESH_LIMIT = 64;

  /** Maximum number of links that an entry VM maintains to each other data centre. */
  public static final int LINKS_PER_DATA_CENTRE = 3;

  private final PeerIdentity self;
  private final Function<Endpoint, PeerLink> linkFactory;
  private final RandomGenerator random;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  /**
   * Creates a network without links.
   *
   * @param self identity of this process
   * @param linkFactory creates an unconnected link to an address
   * @param random selects among links to the same data centre; must be thread-safe
   */
  public PeerNetwork(
      PeerIdentity self, Function<Endpoint, PeerLink> linkFactory, RandomGenerator random) {
    this.self = Assert.notNull(self, "self");
    this.linkFactory = Assert.notNull(linkFactory, "linkFactory");
    this.random = Assert.notNull(random, "random");
  }

  /** {@inheritDoc} Links that are not connected are connected again. */
  @Override
  public void update(List<Member> members, Collection<String> neighbours) {
    Map<String, Endpoint> wanted = new ConcurrentHashMap<>();
    members.stream()
        .filter(member -> requiresLink(member, members, neighbours))
        .forEach(member -> wanted.put(member.vm(), member.address()));
    links.forEach((vm, link) -> closeUnlessRequired(wanted, vm, link));
    wanted.forEach((vm, address) -> links.computeIfAbsent(vm, key -> linkFactory.apply(address)));
    links.values().forEach(PeerLink::connect);
  }

  private boolean requiresLink(Member member, List<Member> members, Collection<String> neighbours) {
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

  private void closeUnlessRequired(Map<String, Endpoint> wanted, String vm, PeerLink link) {
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

  /** Returns the open link to an entry VM, or empty if there is none. */
  public Optional<PeerLink> to(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.remote().isPresent());
  }

  /** Sends a message over every link. */
  public void broadcast(PeerFrame frame) {
    links.values().forEach(link -> link.send(frame));
  }

  /** Returns the open link to an entry VM, or empty if there is none. */
  public Optional<PeerLink> linkTo(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.remote().isPresent());
  }

  /** Returns a random open link to an entry VM of a data centre, or empty if there is none. */
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

  /** Returns the names of the entry VMs of other data centres to which a link is open. */
  public List<String> openElsewhere() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().remote().isPresent())
        .filter(entry -> !isIn(entry.getValue(), self.dataCentre()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of open links to entry VMs of a data centre. */
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
