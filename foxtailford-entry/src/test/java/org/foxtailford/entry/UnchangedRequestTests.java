package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Integration tests of requests that must reach an upstream as they were sent: through one entry VM
 * and through two, of which the first has no links to the upstreams.
 */
public class UnchangedRequestTests {

  private static final int TIMEOUT_MS = 30_000;
  private static final String CLOSE = "Connection: close\r\n\r\n";

  private final List<HttpExchange> arrived = new CopyOnWriteArrayList<>();
  private LinkedTestCluster vms;

  @BeforeClass
  public void begin() throws Exception {
    vms = new LinkedTestCluster(2);
    vms.setLinks(0, TcpLinkStandIn.State.RESET);
    EntryTestCluster.await("cut off", this::isCutOffAfterRequest);
    for (String id : LinkedTestCluster.PLAIN) {
      vms.cluster().upstream(id).setRequestListener(arrived::add);
    }
  }

  private boolean isCutOffAfterRequest() {
    vms.send(0, HttpMethod.GET, "/safe/x", "cut" + System.nanoTime()).join();
    return vms.isCutOff(0);
  }

  @BeforeMethod
  public void clear() {
    arrived.clear();
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    vms.close();
  }

  /** Returns the VM that is cut off, and one that is not. */
  @DataProvider
  public Object[][] entryVms() {
    return new Object[][] {{0}, {1}};
  }

  private RawCaller connect(int vm) throws IOException {
    return new RawCaller(vms.cluster().settings(vm).callers());
  }

  /** Guards against bytes of the target outside ASCII that arrive in another encoding. */
  @Test(dataProvider = "entryVms", timeOut = TIMEOUT_MS)
  public void targetWithBytesOutsideAsciiArrivesAsSent(int vm) throws Exception {
    String target = "/safe/\u00c3\u00a9?q=\u00e9%C3%A9";
    try (RawCaller caller = connect(vm)) {
      assertThat(caller.begin("GET", target, "bytes" + vm, CLOSE).readHead()).contains(" 200 ");
    }
    assertThat(arrived).extracting(HttpExchange::uri).containsExactly(target);
  }

  /** Guards against the next eight bytes of a connection that count as a body that isn't there. */
  @Test(dataProvider = "entryVms", timeOut = TIMEOUT_MS)
  public void requestWithoutLengthHasNoBodyWhateverItsFields(int vm) throws Exception {
    String keys = "Sec-WebSocket-Key1: 1\r\nSec-WebSocket-Key2: 2\r\n\r\n";
    try (RawCaller caller = connect(vm)) {
      caller.begin("GET", "/safe/first", "keys" + vm, keys);
      String answers = caller.begin("GET", "/safe/next", "next" + vm, CLOSE).readToEnd();
      assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(3);
    }
    assertThat(arrived)
        .extracting(HttpExchange::uri)
        .containsExactlyInAnyOrder("/safe/first", "/safe/next");
    assertThat(arrived).allMatch(exchange -> exchange.body().length == 0);
  }

  /** Guards against a coded body that reaches the upstream without the name of its coding. */
  @Test(dataProvider = "entryVms", timeOut = TIMEOUT_MS)
  public void bodyInAnUnknownTransferCodingIsRefused(int vm) throws Exception {
    String coding = "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    try (RawCaller caller = connect(vm)) {
      assertThat(caller.begin("POST", "/once/x", "coded" + vm, coding).readHead())
          .contains(" 400 ");
    }
    assertThat(arrived).isEmpty();
  }

  /** Guards against end-to-end fields that a caller has removed by naming them hop-by-hop. */
  @Test(dataProvider = "entryVms", timeOut = TIMEOUT_MS)
  public void fieldsThatIdentifyARequestAreKept(int vm) throws Exception {
    String fields = "Connection: close, Request-Id, Host, X-Own\r\nX-Own: 1\r\n\r\n";
    try (RawCaller caller = connect(vm)) {
      assertThat(caller.begin("GET", "/safe/x", "named" + vm, fields).readHead()).contains(" 200 ");
    }
    assertThat(arrived).hasSize(1);
    assertThat(arrived.get(0).headers().get("Request-Id")).isEqualTo("named" + vm);
    assertThat(arrived.get(0).headers().get("Host")).isEqualTo("127.0.0.1");
    assertThat(arrived.get(0).headers().contains("X-Own")).isFalse();
  }

  /** Guards against a caller that waits in vain for the 100 to a request behind another one. */
  @Test(dataProvider = "entryVms", timeOut = TIMEOUT_MS)
  public void requestBehindAnotherIsToldToSendItsBody(int vm) throws Exception {
    String expects = "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    try (RawCaller caller = connect(vm)) {
      caller.begin("GET", "/safe/x", "ahead" + vm, "\r\n");
      caller.begin("POST", "/once/x", "expects" + vm, expects);
      String heads = caller.readHead() + caller.readHead();
      assertThat(heads).contains(" 200 ").contains(" 100 ");
    }
  }
}
