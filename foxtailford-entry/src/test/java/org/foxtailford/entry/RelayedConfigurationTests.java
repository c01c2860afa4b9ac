package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.Test;

/** Relayed requests are decided by no older configuration than that of the VM that took them. */
public class RelayedConfigurationTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int VMS = 3;

  /** Documented time in which a change is in force, in milliseconds. */
  private static final long APPLY_MS = 2000;

  private static final int REQUESTS = 40;

  private int requests;

  // CONFIG: a request was run as an older version said, by the VM that it was relayed to.
  @Test(timeOut = TIMEOUT_MS)
  public void requestIsNotRunByTheOlderConfigurationOfTheVmThatItIsRelayedTo() throws Exception {
    try (LinkedTestCluster linked = new LinkedTestCluster(VMS)) {
      int leader = linked.leader();
      int cutVm = (leader + 1) % VMS;
      linked.keepBehind((leader + 2) % VMS, 4);
      linked.setLinks(cutVm, TcpLinkStandIn.State.RESET);
      EntryTestCluster.await(
          "cut off",
          () -> {
            send(linked, cutVm).join();
            return linked.isCutOff(cutVm);
          });
      linked.cluster().configureSafeRequestsToKeyedService(5);
      TimeUnit.MILLISECONDS.sleep(APPLY_MS);
      Map<String, Integer> before = new HashMap<>(linked.runCounts());
      List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        answers.add(send(linked, cutVm));
        TimeUnit.MILLISECONDS.sleep(20);
      }
      long served = answers.stream().filter(answer -> answer.join().status() == 200).count();
      assertThat(answers)
          .as("headers between VMs stay there")
          .noneMatch(answer -> answer.join().headers().contains("Foxtailford-Configuration"));
      assertThat(linked.runCounts()).as("runs by the service of before").isEqualTo(before);
      assertThat(served).as("served through the VM that is not behind").isGreaterThan(REQUESTS / 2);
    }
  }

  private CompletableFuture<HttpAnswer> send(LinkedTestCluster linked, int vm) {
    return linked.send(vm, HttpMethod.GET, "/safe/x", "r" + requests++);
  }
}
