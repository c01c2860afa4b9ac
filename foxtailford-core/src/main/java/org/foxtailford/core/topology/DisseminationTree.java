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
 * Tree over the entry VMs of a data centre along which heartbeats rise and state descends.
 *
 * <p>Every VM computes it from its own view of the members, so neighbours may disagree for a
 * moment; heartbeats carry versions, and whoever is behind is brought up to date by any neighbour.
 * Immutable.
 */
public final class DisseminationTree {

  /** Children of one VM; bounds what a node receives whatever the number of VMs. */
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
   * Builds the tree.
   *
   * @param dataCentre subject of the order below the root
   * @param leader root, if it is a member
   * @param members names of the members
   * @param fanOut most children of one VM
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

  /** Returns the tree of a VM that knows of no other. */
  public static DisseminationTree singleton(String vm) {
    return new DisseminationTree(List.of(vm), FAN_OUT);
  }

  /** Returns the parent of a VM; empty for the root and for a VM outside the tree. */
  public Optional<String> parent(String vm) {
    int index = position(vm).orElse(-1);
    return index <= 0 ? Optional.empty() : Optional.of(order.get((index - 1) / fanOut));
  }

  /** Returns the children of a VM. */
  public List<String> children(String vm) {
    int index = position(vm).orElse(-1);
    if (index < 0) {
      return List.of();
    }
    int from = Math.min(order.size(), index * fanOut + 1);
    int to = Math.min(order.size(), from + fanOut);
    return order.subList(from, to);
  }

  /** Returns the parent and the children of a VM. */
  public List<String> neighbours(String vm) {
    List<String> neighbours = new ArrayList<>(children(vm));
    parent(vm).ifPresent(neighbours::add);
    return neighbours;
  }

  /** Returns the number of VMs. */
  public int size() {
    return order.size();
  }

  /** Returns the position of a VM in the order from the root, from 0; empty outside the tree. */
  public OptionalInt position(String vm) {
    Integer position = positions.get(vm);
    return position == null ? OptionalInt.empty() : OptionalInt.of(position);
  }

  /** Returns the longest way from the root, in hops. */
  public int depth() {
    int depth = 0;
    for (int index = order.size() - 1; index > 0; index = (index - 1) / fanOut) {
      depth++;
    }
    return depth;
  }
}
