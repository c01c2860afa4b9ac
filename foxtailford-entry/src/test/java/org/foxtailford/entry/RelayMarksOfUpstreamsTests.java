package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers of upstreams that have the fields by which entry VMs tell each other something. */
public class RelayMarksOfUpstreamsTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int CUT_VM = 0;
  private static final int SOUND_VM = 1;
  private static final List<String> MARKS =
      List.of(
          "Foxtailford-Not-Run",
          "Foxtailford-Cut-Off",
          "Foxtailford-Configuration",
          "Foxtailford-Relayed-After");

  private LinkedTestCluster vms;

  @BeforeClass
  public void begin() throws Exception {
    vms = new LinkedTestCluster(2);
    vms.setLinks(CUT_VM, TcpLinkStandIn.State.RESET);
    EntryTestCluster.await("cut off", this::isCutOffAfterRequest);
    EntryTestCluster.await("relayed", () -> send(CUT_VM, "/safe/x", id()).status() == 200);
    for (String upstream : LinkedTestCluster.PLAIN) {
      MARKS.forEach(mark -> vms.cluster().upstream(upstream).addToAnswers(mark, "1"));
    }
  }

  private boolean isCutOffAfterRequest() {
    send(CUT_VM, "/safe/x", id());
    return vms.isCutOff(CUT_VM);
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    vms.close();
  }

  @DataProvider
  public Object[][] vms() {
    return new Object[][] {{CUT_VM}, {SOUND_VM}};
  }

  // REFUSED: a request that had run was answered 503, as the upstream's field was taken for a VM's.
  @Test(dataProvider = "vms", timeOut = TIMEOUT_MS)
  public void requestThatRanIsNotRefused(int vm) {
    String id = id();
    assertThat(send(vm, "/once/x", id).status()).isEqualTo(200);
    assertThat(vms.runCounts()).containsEntry(id, 1);
  }

  @Test(dataProvider = "vms", timeOut = TIMEOUT_MS)
  public void marksOfAnUpstreamDoNotReachCallers(int vm) {
    assertThat(send(vm, "/safe/x", id()).headers().names())
        .noneMatch(name -> name.startsWith("Foxtailford-"));
  }

  private HttpAnswer send(int vm, String path, String id) {
    HttpMethod method = path.startsWith("/once/") ? HttpMethod.POST : HttpMethod.GET;
    return vms.send(vm, method, path, id).join();
  }

  private static String id() {
    return "marks" + System.nanoTime();
  }
}
