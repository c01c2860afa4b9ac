package org.foxtailford.core.topology;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DisseminationTreeProperties {

  @Property(seed = "2", tries = 100)
  void eachMemberIsReachedExactlyOnceFromRoot(
      @ForAll @IntRange(min = 1, max = 400) int size,
      @ForAll @IntRange(min = 1, max = 20) int fanOut) {
    List<String> members = IntStream.range(0, size).mapToObj(i -> "vm-" + i).toList();
    String leader = members.get(size / 2);
    DisseminationTree tree = DisseminationTree.of("dc", Optional.of(leader), members, fanOut);
    Set<String> reached = new HashSet<>();
    Deque<String> queue = new ArrayDeque<>(List.of(leader));
    while (!queue.isEmpty()) {
      String vm = queue.remove();
      assertThat(reached.add(vm)).isTrue();
      assertThat(tree.children(vm)).hasSizeLessThanOrEqualTo(fanOut);
      tree.children(vm).forEach(child -> assertThat(tree.parent(child)).contains(vm));
      queue.addAll(tree.children(vm));
    }
    assertThat(reached).hasSize(size);
  }

  @Property(seed = "2", tries = 1)
  void depthAtDesignSizeIsThree() {
    List<String> members = IntStream.range(0, 370).mapToObj(i -> "vm-" + i).toList();
    DisseminationTree tree =
        DisseminationTree.of("dc", Optional.empty(), members, DisseminationTree.FAN_OUT);
    assertThat(tree.depth()).isEqualTo(3);
  }
}
