package org.foxtailford.daemon.peer;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;

/** Links to the entry VMs of the VM list. Thread-safe. */
public final class PeerNetwork implements AutoCloseable {

  private final EventLoopGroup loops;
  private final PeerIdentity self;
  private final int maxFrameBytes;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  public PeerNetwork(EventLoopGroup loops, PeerIdentity self, int maxFrameBytes) {
    this.loops = Assert.notNull(loops, "loops");
    this.self = Assert.notNull(self, "self");
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Adds links to new VMs and closes those to VMs that are gone. */
  public void update(VmList vms) {
    List<VmEntry> peers =
        vms.getVmsList().stream()
            .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
            .filter(vm -> !vm.getName().equals(self.vm()))
            .toList();
    Set<String> names = peers.stream().map(VmEntry::getName).collect(Collectors.toSet());
    links.forEach((name, link) -> closeIfGone(names, name, link));
    peers.forEach(this::addLink);
    connectAll();
  }

  private void closeIfGone(Set<String> names, String name, PeerLink link) {
    if (!names.contains(name)) {
      links.remove(name);
      link.close();
    }
  }

  private void addLink(VmEntry vm) {
    links.compute(
        vm.getName(),
        (name, link) -> {
          if (link != null && link.endpoint().equals(vm.getAddress())) {
            return link;
          }
          if (link != null) {
            link.close();
          }
          return new PeerLink(loops, self, vm.getAddress(), maxFrameBytes);
        });
  }

  /** Connects every link that is closed. */
  public void connectAll() {
    links.values().forEach(PeerLink::connect);
  }

  /** Sends a message to every entry VM of this data centre. */
  public void broadcastLocally(PeerFrame frame) {
    links.values().stream()
        .filter(link -> isIn(link, self.dataCentre()))
        .forEach(link -> link.send(frame));
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
    return Optional.of(open.get(ThreadLocalRandom.current().nextInt(open.size())));
  }

  private static boolean isIn(PeerLink link, String dataCentre) {
    return link.remote().filter(remote -> remote.dataCentre().equals(dataCentre)).isPresent();
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
