package org.foxtailford.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class LeaseCandidatesTests {

  private final LeaseCandidates candidates = new LeaseCandidates("dc-a", 3);
  private final List<String> vms = IntStream.range(0, 370).mapToObj(i -> "entry-" + i).toList();

  @Test
  public void choosesSameCandidatesForAnyOrderOfVms() {
    assertThat(candidates.choose(vms)).hasSize(3);
    List<String> reversed = vms.stream().sorted((a, b) -> b.compareTo(a)).toList();
    assertThat(candidates.choose(reversed)).isEqualTo(candidates.choose(vms));
  }

  @Test
  public void replacesOnlyCandidateThatWasLost() {
    Set<String> before = candidates.choose(vms);
    String lost = before.iterator().next();
    Set<String> after = candidates.choose(vms.stream().filter(vm -> !vm.equals(lost)).toList());
    assertThat(after).hasSize(3).doesNotContain(lost);
    assertThat(after.stream().filter(before::contains)).hasSize(2);
  }

  @Test
  public void choosesAllVmsIfFewerThanMaximum() {
    assertThat(candidates.choose(List.of("x", "y"))).containsExactly("x", "y");
  }
}
