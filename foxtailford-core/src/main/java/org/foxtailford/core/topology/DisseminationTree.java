package org.foxtailford.core.topology;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.foxtailford.core.util.Assert;
import org.foxtailford.core.util.RendezvousHashing;

/**
 * Tree of the entry VMs of a data centre, along which heartbeats travel to the root and state
 * travels to the leaves. Immutable.
 *
 * <p>Each VM computes the tree from its own view of the members, so neighbours may temporarily have
 * different trees. Heartbeats carry versions, and any neighbour with a newer version updates a VM
 * whose state is outdated.
 */
public final class DisseminationTree {

  /**
   * Default maximum number of children, which bounds the load of a VM for any number of members.
   */
  public static final int FAN_OUT = 16;

  private final List<String> order;
  private final Map<String, Integer> positions = new HashMap<>();
  private final int fanOut;

  private DisseminationTree(List<String> order, int fanOut) {
    this.order = order;
    this.fanOut = fanOut;
    order.forEach(vm -> positions.put(vm, positions.size()));
  }

  /**
   * Builds a tree whose VMs below the root are in the rendezvous order of the data centre.
   *
   * @param dataCentre name of the data centre, the subject of the rendezvous hash
   * @param leader leader of the data centre, which becomes the root if it is a member
   * @param members names of the member VMs
   * @param fanOut maximum number of children of a VM; positive
   */
  public static DisseminationTree of(
      String dataCentre, Optional<String> leader, Collection<String> members, int fanOut) {
    Assert.isTrue(fanOut > 0, "fanOut must be positive");
    List<String> ranked = RendezvousHashing.rank(dataCentre, members);
    List<String> order = new ArrayList<>(ranked.size());
    Optional<String> root = leader.filter(members::contains);
    root.ifPresent(order::add);
    ranked.stream().filter(vm -> !vm.equals(root.orElse(""))).forEach(order::add);
    return new DisseminationTree(List.copyOf(order), fanOut);
  }

  /** Returns a tree that consists of a single VM. */
  public static DisseminationTree singleton(String vm) {
    return new DisseminationTree(List.of(vm), FAN_OUT);
  }

  /** Returns the parent of a VM; empty for the root and for a VM that is not in the tree. */
  public Optional<String> parent(String vm) {
    int index = position(vm).orElse(-1);
    return index <= 0 ? Optional.empty() : Optional.of(order.get((index - 1) / fanOut));
  }

  /** Returns the children of a VM; empty for a leaf and for a VM that is not in the tree. */
  public List<String> children(String vm) {
    int index = position(vm).orElse(-1);
    if (index < 0) {
      return List.of();
    }
    int from = Math.min(order.size(), index * fanOut + 1);
    int to = Math.min(order.size(), from + fanOut);
    return order.subList(from, to);
  }

  /** Returns the children and then the parent of a VM; empty for a VM that is not in the tree. */
  public List<String> neighbours(String vm) {
    List<String> neighbours = new ArrayList<>(children(vm));
    parent(vm).ifPresent(neighbours::add);
    return neighbours;
  }

  /** Returns the number of VMs in the tree. */
  public int size() {
    return order.size();
  }

  /** Returns the breadth-first position of a VM, 0 for the root; empty if it is not in the tree. */
  public OptionalInt position(String vm) {
    Integer position = positions.get(vm);
    return position == null ? OptionalInt.empty() : OptionalInt.of(position);
  }

  /** Returns the maximum number of hops from the root to a VM. */
  public int depth() {
    int depth = 0;
    for (int index = order.size() - 1; index > 0; index = (index - 1) / fanOut) {
      depth++;
    }
    return depth;
  }
}
