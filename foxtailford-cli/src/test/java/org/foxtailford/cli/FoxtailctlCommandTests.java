package org.foxtailford.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FoxtailctlCommandTests {

  private static final String CLOSED_ENDPOINT = "127.0.0.1:1";

  private OperatorFixture fixture;
  private Path folder;

  @BeforeMethod
  public void start() throws IOException {
    fixture = new OperatorFixture();
    folder = Files.createTempDirectory("foxtailctl");
    assertThat(fixture.run("config", "apply", file(OperatorFixture.DOCUMENT)))
        .as(fixture.err())
        .isEqualTo(ExitStatus.DONE);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    fixture.close();
  }

  @Test
  public void printedDocumentCanBeAppliedAgainAndKeepsEveryValue() throws IOException {
    fixture.run("config", "get");
    String printed = fixture.out();
    assertThat(fixture.run("config", "diff", file(printed))).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).isEmpty();
    assertThat(fixture.run("config", "apply", file(printed))).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).isEqualTo("version 2 accepted\n");
    var services = fixture.store().read().join().getRecord().getDocument().getServicesList();
    assertThat(services.get(1).getKinds(0).getWorth()).isZero();
  }

  @Test
  public void documentFromAnOlderVersionIsAConflictThatNamesBothAndTheDifference()
      throws IOException {
    fixture.run("vm", "drain", "menu-a1", "--as", "bela");
    assertThat(fixture.run("config", "apply", "--base", "1", file(OperatorFixture.DOCUMENT)))
        .isEqualTo(ExitStatus.CONFLICT);
    assertThat(fixture.err())
        .contains("change is based on version 1, but version 2 by bela is active")
        .contains("vms[menu-a1].draining: in force true, yours -");
  }

  @Test
  public void faultyDocumentIsRefusedWithPathsLinesAndHints() throws IOException {
    String text = OperatorFixture.DOCUMENT.replace("service=pantry", "service=>pantry");
    assertThat(fixture.run("config", "check", file(text))).isEqualTo(ExitStatus.REFUSED);
    assertThat(fixture.err()).contains("$.services[1].selector", "line 7", "hint:");
    assertThat(fixture.store().read().join().getVersion()).isEqualTo(1);
  }

  @Test
  public void selectorWithoutUpstreamNeedsForce() throws IOException {
    String text = OperatorFixture.DOCUMENT.replace("service=pantry", "service=none");
    String file = file(text);
    assertThat(fixture.run("config", "apply", "--base", "1", file)).isEqualTo(ExitStatus.REFUSED);
    assertThat(fixture.run("config", "apply", "--base", "1", "--force", file))
        .isEqualTo(ExitStatus.DONE);
  }

  @Test
  public void dataCentreIsTakenOutAndBroughtBack() {
    assertThat(fixture.run("dc", "out", "dc-b", "--note", "flood")).isEqualTo(ExitStatus.DONE);
    fixture.run("dc", "status");
    assertThat(fixture.out()).containsPattern("dc-b +true +1 +2 +0");
    fixture.run("dc", "in", "dc-b");
    fixture.run("dc", "status");
    assertThat(fixture.out()).containsPattern("dc-b +false +1 +2 +2");
    fixture.run("config", "history");
    assertThat(fixture.out()).containsPattern("2 +2023-11-14T22:13:20Z +asha +flood");
  }

  @Test
  public void lossOfADataCentreIsStatedOnlyWithItsConfirmation() {
    assertThat(fixture.run("dc", "lost", "dc-b")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.run("dc", "lost", "dc-b", "--nothing-runs-there"))
        .isEqualTo(ExitStatus.DONE);
    fixture.run("config", "get");
    assertThat(fixture.out()).containsPattern("\"lost\" ?: ?true");
  }

  @Test
  public void dataCentreThatReturnsIsNoLongerLost() {
    fixture.run("dc", "lost", "dc-b", "--nothing-runs-there");
    fixture.run("dc", "in", "dc-b");
    fixture.run("config", "get");
    assertThat(fixture.out()).doesNotContainPattern("\"(lost|out)\" ?: ?true");
  }

  @Test
  public void editIsMadeAgainWhenAnotherOperatorChangedSomethingElse() {
    ChangeSender sender = sender();
    boolean[] raced = new boolean[1];
    sender.edit(
        "vms",
        "menu-a1",
        vm -> {
          if (!raced[0]) {
            raced[0] = true;
            sender().edit("vms", "menu-b1", other -> other.put("draining", true));
          }
          vm.put("draining", true);
        });
    fixture.run("vms");
    assertThat(fixture.out())
        .containsPattern("menu-a1 .*true")
        .containsPattern("menu-b1 .*true")
        .containsPattern("menu-a2 .*false");
  }

  @Test
  public void editOfAnItemThatAnotherOperatorChangedIsAConflict() {
    ChangeSender sender = sender();
    boolean[] raced = new boolean[1];
    ResultCodeException failure =
        catchThrowableOfType(
            ResultCodeException.class,
            () ->
                sender.edit(
                    "dataCentres",
                    "dc-a",
                    dc -> {
                      if (!raced[0]) {
                        raced[0] = true;
                        sender().edit("dataCentres", "dc-a", o -> o.put("out", true));
                      }
                      dc.putObject("labels").put("tier", "gold");
                    }));
    assertThat(failure.code()).isEqualTo(ResultCode.CONFIGURATION_CONFLICT);
    assertThat(fixture.store().read().join().getVersion()).isEqualTo(2);
  }

  @Test
  public void changeWhoseAnswerIsLostIsSentAgainAndMadeOnce() throws IOException {
    try (OperatorFixture lossy = new OperatorFixture(OperatorFixture.FirstAnswerLost::new)) {
      String file = file(OperatorFixture.DOCUMENT);
      assertThat(lossy.run("config", "apply", "--timeout-ms", "300", file))
          .isEqualTo(ExitStatus.DONE);
      assertThat(lossy.out()).isEqualTo("version 1 accepted\n");
      assertThat(lossy.store().readHistory().join()).hasSize(1);
    }
  }

  @Test
  public void endpointsAreTriedInOrder() {
    assertThat(fixture.runAt(CLOSED_ENDPOINT + "," + fixture.endpoint(), "vms"))
        .isEqualTo(ExitStatus.DONE);
    assertThat(fixture.runAt(CLOSED_ENDPOINT, "vms")).isEqualTo(ExitStatus.UNAVAILABLE);
    assertThat(fixture.err()).contains("6004", CLOSED_ENDPOINT);
  }

  @DataProvider
  public Object[][] brokenAnswers() {
    String body = "Content-Length: 2\r\n\r\n{}";
    return new Object[][] {
      {"HTTP/1.1 2000 OK\r\n" + body},
      {"HTTP/1.1 200x OK\r\n" + body},
      {"HTTP/1.1 000 OK\r\n" + body},
      {"HTTP/1.1 200 OK\r\nETag : \"7\"\r\n" + body},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + body},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}"},
      {"HTTP/1.1 200 OK\r\nETag: \"x\"\r\n" + body},
      {"HTTP/1.1 500 Failed\r\nFoxtail-Code: 0\r\n" + body},
    };
  }

  // An answer with status 2000 was taken for 200: the command printed an empty list.
  @Test(dataProvider = "brokenAnswers")
  public void brokenAnswerIsNoAnswerOfTheOperatorsInterface(String answer) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
      Thread thread = new Thread(() -> answerOnce(server, answer), "broken operators' interface");
      thread.start();
      assertThat(fixture.runAt("127.0.0.1:" + server.getLocalPort(), "vms"))
          .isIn(ExitStatus.UNAVAILABLE, ExitStatus.INTERNAL);
      thread.join();
    }
  }

  private static void answerOnce(ServerSocket server, String answer) {
    try (Socket socket = server.accept()) {
      socket.setSoTimeout(500); // a client that keeps the connection doesn't close it
      socket.getInputStream().read(new byte[8192]);
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      return; // closed or reset
    }
  }

  @Test
  public void ownerAndWhyTellTheDecision() {
    fixture.grant("menu-planning", "menu-a2");
    assertThat(fixture.run("owner", "menu-planning", "dal makhani")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out())
        .containsPattern("key +dal makhani")
        .containsPattern("owner +menu-a2")
        .containsPattern("fence +3.1")
        .containsPattern("since +2023-11-14T22:13:20Z");
    fixture.run("why", "menu-planning", "lookup", "--key", "dal makhani");
    assertThat(fixture.out())
        .containsPattern("decision +send to the owner of the key")
        .containsPattern("upstream +menu-a2");
    fixture.run("why", "pantry", "weigh");
    assertThat(fixture.out()).containsPattern("decision +refuse").contains("UNKNOWN_KIND");
    fixture.run("slices");
    assertThat(fixture.out()).containsPattern("menu-planning +\\S+ +menu-a2 +3.1");
    assertThat(fixture.run("owner", "pantry", "rice")).isEqualTo(ExitStatus.NOT_FOUND);
  }

  @Test
  public void listedVmThatIsNotHeardFromIsNotCountedAsInForce() {
    assertThat(fixture.run("status", "--wait", "--wait-ms", "3000")).isEqualTo(ExitStatus.NOT_YET);
    assertThat(fixture.out()).containsPattern("entry-b1 +- +not heard from");
  }

  @Test
  public void statusWaitsUntilEveryVmHasTheStoredVersion() {
    fixture.peerVersions().put("entry-b1", 0L);
    assertThat(fixture.run("status", "--wait", "--wait-ms", "3000")).isEqualTo(ExitStatus.NOT_YET);
    assertThat(fixture.err()).contains("version 1: 1 of 2 VMs behind");
    assertThat(fixture.out()).containsPattern("entry-b1 +0 +behind");
    fixture.peerVersions().put("entry-b1", 1L);
    assertThat(fixture.run("status", "--wait")).isEqualTo(ExitStatus.DONE);
  }

  @Test
  public void statusWaitsUntilSlicesHaveLeftADataCentreThatIsOut() {
    fixture.peerVersions().put("entry-b1", 1000L);
    fixture.grant("menu-planning", "menu-a1");
    fixture.acceptHomes(HomeDirectory.initial("menu-planning", 64, List.of("dc-a", "dc-b")));
    assertThat(fixture.run("status", "--wait")).as(fixture.err()).isEqualTo(ExitStatus.DONE);
    fixture.run("dc", "out", "dc-b");
    assertThat(fixture.run("status", "--wait", "--wait-ms", "3000")).isEqualTo(ExitStatus.NOT_YET);
    assertThat(fixture.err()).contains("version 2: 0 of 2 VMs behind, 32 slices not handed over");
    assertThat(fixture.out()).containsPattern("dc-b +32 +32 +0 +0");
    fixture.acceptHomes(HomeDirectory.initial("menu-planning", 64, List.of("dc-a")));
    assertThat(fixture.run("status", "--wait")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).containsPattern("dc-b +0 +0 +0 +0");
  }

  @Test
  public void statusWaitsUntilSlicesHaveOwners() {
    fixture.peerVersions().put("entry-b1", 1000L);
    fixture.acceptHomes(HomeDirectory.initial("menu-planning", 64, List.of("dc-a")));
    assertThat(fixture.run("status", "--wait", "--wait-ms", "3000")).isEqualTo(ExitStatus.NOT_YET);
    assertThat(fixture.out()).containsPattern("dc-a +64 +0 +0 +64");
    fixture.grant("menu-planning", "menu-a1");
    assertThat(fixture.run("status", "--wait")).isEqualTo(ExitStatus.DONE);
  }

  @Test
  public void dataCentreStatusShowsTheHandOver() {
    fixture.grant("menu-planning", "menu-a1");
    fixture.acceptHomes(HomeDirectory.initial("menu-planning", 64, List.of("dc-a", "dc-b")));
    fixture.run("dc", "out", "dc-b");
    fixture.run("dc", "status");
    assertThat(fixture.out())
        .contains("HOME-SLICES", "LEAVING-SLICES", "ARRIVING-SLICES", "UNOWNED-SLICES")
        .containsPattern("dc-a +false +1 +3 +3 +1 +32 +0 +0 +0")
        .containsPattern("dc-b +true +1 +2 +0 +- +32 +32 +0 +-");
  }

  @Test
  public void everyListIsAlsoPrintedAsJson() throws IOException {
    for (String command : List.of("vms", "upstreams", "slices", "status", "dc status")) {
      String[] words = (command + " --json").split(" ");
      assertThat(fixture.run(words)).isEqualTo(ExitStatus.DONE);
      assertThat(new ObjectMapper().readTree(fixture.out()).isObject()).isTrue();
    }
  }

  @Test
  public void wrongCommandLineIsUsage() {
    assertThat(fixture.run("vm", "explode", "menu-a1")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.run("vm", "drain")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.run("vms", "--colour")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.runAt("", "vms")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.runAt("nonsense", "vms")).isEqualTo(ExitStatus.USAGE);
    assertThat(fixture.runAt("127.0.0.1:70000", "vms")).isEqualTo(ExitStatus.USAGE);
  }

  @Test
  public void helpVersionAndCompletionArePrinted() {
    assertThat(fixture.run("--help")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).contains("foxtailctl dc out NAME");
    assertThat(fixture.run("dc", "out", "--help")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).contains("--force");
    assertThat(fixture.run("--version")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.run("completion", "bash")).isEqualTo(ExitStatus.DONE);
    assertThat(fixture.out()).contains("dc) words=\"in lost out status\"");
  }

  private ChangeSender sender() {
    OperatorClient client =
        new OperatorClient(List.of(fixture.endpoint()), Optional.empty(), Duration.ofSeconds(5));
    return new ChangeSender(client, fixture.io(fixture.endpoint()), "asha", "", false);
  }

  private String file(String text) throws IOException {
    return Files.writeString(Files.createTempFile(folder, "document", ".json"), text).toString();
  }
}
