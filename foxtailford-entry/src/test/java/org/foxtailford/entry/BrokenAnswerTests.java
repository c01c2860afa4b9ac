package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.foxtailford.entry.RawAnswerCluster.CUT_VM;
import static org.foxtailford.entry.RawAnswerCluster.OK;
import static org.foxtailford.entry.RawAnswerCluster.SOUND;
import static org.foxtailford.entry.RawAnswerCluster.SOUND_VM;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailford.entry.RawAnswerCluster.Arrival;
import org.foxtailford.entry.log.KeptLog;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Integration tests of upstreams in trouble whose answers are no answers in the protocol, and of
 * sound answers in rare forms, through one entry VM and through two.
 */
public class BrokenAnswerTests {

  private static final int TIMEOUT_MS = 30_000;
  private static final String ID = "Request-Id: %s\r\nResponse-Signature: broken\r\n";
  private static final String SIX = "Content-Length: 6\r\n\r\nbroken";
  private static final String CHUNKS = "6\r\nbroken\r\n0\r\n\r\n";
  private static final String WHOLE = "Request-Id: %s\r\nResponse-Signature: whole\r\n";
  private static final String FIVE = "Content-Length: 5\r\n\r\nsound";

  private RawAnswerCluster cluster;

  @BeforeClass
  public void begin() throws Exception {
    cluster = new RawAnswerCluster();
  }

  @AfterClass(alwaysRun = true)
  public void end() throws IOException {
    cluster.close();
  }

  /** Returns answers that are none in the protocol. */
  @DataProvider
  public Object[][] brokenAnswers() {
    return rows(
        Stream.of(
                statusLines(),
                names(),
                values(),
                lengths(),
                codings(),
                severalValues(),
                heads(),
                interim())
            .flatMap(forms -> forms));
  }

  private static Stream<String> statusLines() {
    return Stream.concat(
            Stream.of("000", "099", "0", "7", "20", "2000", "0200", "+200", "-200", "2e2", "20x")
                .map(status -> "HTTP/1.1 " + status + " OK"),
            Stream.of("HTTP/2.0", "HTTP/0.9", "http/1.1", "ICY/1.1", "HTTP/1.1.1")
                .map(version -> version + " 200 OK"))
        .map(line -> line + "\r\n" + ID + SIX);
  }

  private static Stream<String> names() {
    return Stream.of(
            "X broken",
            "X\tbroken",
            "X broken ",
            "broken ",
            "broken\t",
            " broken",
            "X(broken",
            "X\u0001broken",
            "X\u0000broken",
            "X\u007fbroken",
            "X\u00e9broken",
            "X\rbroken",
            "")
        .map(name -> OK + name + ": broken\r\n" + ID + SIX);
  }

  private static Stream<String> values() {
    return Stream.of(
            "a\u0000broken", "a\u0001broken", "a\u000bbroken", "a\rbroken", "a\u007fbroken")
        .map(value -> OK + ID + "X-A: " + value + "\r\n" + SIX);
  }

  private static Stream<String> lengths() {
    return Stream.of(
            "Content Length: 6",
            "Content-Length : 6",
            "Content-Length\t: 6",
            "Content-Length x: 3\r\nContent-Length: 6",
            "Transfer-Encoding : chunked\r\nContent-Length: 6",
            "Content-Length: 6x",
            "Content-Length: -6",
            "Content-Length: +6",
            "Content-Length: 6, 7",
            "Content-Length: 6\r\nContent-Length: 7",
            "Content-Length:",
            "Content-Length",
            "Transfer-Encoding: chunked\r\nContent-Length: 6")
        .map(line -> OK + ID + line + "\r\n\r\nbroken");
  }

  private static Stream<String> codings() {
    return Stream.concat(
        Stream.of(
                "gzip",
                "identity",
                "gzip, chunked",
                "chunked, gzip",
                "chunked, chunked",
                "x-chunked",
                "chunked;q=1",
                "chunked x",
                "",
                "chunked\r\nTransfer-Encoding: chunked")
            .map(coding -> OK + ID + "Transfer-Encoding: " + coding + "\r\n\r\n" + CHUNKS),
        Stream.of("HTTP/1.0 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS));
  }

  private static Stream<String> severalValues() {
    return Stream.of(
        OK + "Request-Id: other\r\n" + ID + SIX,
        OK + ID + "Request-Id: other\r\n" + SIX,
        OK + ID + "Response-Signature: other\r\n" + SIX,
        "HTTP/1.1 503 Full\r\n" + ID + "Retry-After: 1\r\nRetry-After: 9\r\n" + SIX);
  }

  private static Stream<String> heads() {
    return Stream.of(
        "\u0000broken" + OK + ID + SIX,
        "broken\r\n\r\n",
        OK.replace("\r", "") + ID + SIX,
        OK + ID + "Content-Length: 6\n\nbroken",
        "HTTP/1.1 200 O\rK\r\n" + ID + SIX,
        "HTTP/1.1 101 Switching\r\n" + ID + "\r\nbroken",
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX broken: 1\r\n" + ID + SIX,
        "HTTP/1.1 421 Other\r\n" + ID + "X-A\r\n" + SIX,
        OK + ID + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX broken: 1\r\n\r\n",
        OK + ID + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n X-A: 1\r\n\r\n");
  }

  private static Stream<String> interim() {
    return Stream.of(
        "HTTP/1.1 103 Hints\r\nX broken: 1\r\n\r\n" + SOUND,
        "HTTP/1.1 010 Hints\r\n\r\n" + SOUND,
        "HTTP/1.1 100 Continue\r\nContent-Length : 5\r\n\r\n" + SOUND);
  }

  private static Object[][] rows(Stream<String> answers) {
    return answers.map(answer -> new Object[] {answer}).toArray(Object[][]::new);
  }

  // MIXED: a caller got an answer with status 000, another field than was sent, or another body.
  @Test(dataProvider = "brokenAnswers", timeOut = TIMEOUT_MS)
  public void requestThatRunsOnceFailsWithoutAPromise(String answer) throws Exception {
    checkFailure(SOUND_VM, answer);
  }

  @Test(dataProvider = "brokenAnswers", timeOut = TIMEOUT_MS)
  public void relayedRequestThatRunsOnceFailsWithoutAPromise(String answer) throws Exception {
    checkFailure(CUT_VM, answer);
  }

  private void checkFailure(int vm, String answer) throws Exception {
    KeptLog.take();
    Arrival arrival =
        cluster.sendUntilItArrives(answer, id -> cluster.call(vm, "POST", "/once/x", id, "body"));
    assertThat(arrival.received()).startsWith("HTTP/1.1 502 ").doesNotContain("broken", "sound");
    assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(1);
    assertThat(KeptLog.take())
        .anyMatch(line -> line.contains(arrival.id()) && line.contains("malformed answer "));
    EntryTestCluster.await("closed", () -> !cluster.isConnectionOpen(arrival.id()));
  }

  /** Returns lawful answers in rare forms, and what of them the caller has to get. */
  @DataProvider
  public Object[][] soundAnswers() {
    String chunked = WHOLE + "Transfer-Encoding: %c\r\n\r\n";
    return new Object[][] {
      {"HTTP/1.1 200\r\n" + WHOLE + FIVE, " 200 "},
      {"HTTP/1.1 200 \r\n" + WHOLE + FIVE, " 200 "},
      {"HTTP/1.1 200 Tr\u00e8s bien\r\n" + WHOLE + FIVE, " 200 OK\r\n"},
      {"HTTP/1.1 200 O\u0001K\r\n" + WHOLE + FIVE, " 200 OK\r\n"},
      {"HTTP/1.0 200 OK\r\n" + WHOLE + FIVE, " 200 "},
      {"HTTP/1.2 200 OK\r\n" + WHOLE + FIVE, " 200 "},
      {"\r\n\r\n" + SOUND, " 200 "},
      {" \tHTTP/1.1 \t200\t OK\r\n" + WHOLE + FIVE, " 200 OK\r\n"},
      {"HTTP/1.1 299 Odd\r\n" + WHOLE + FIVE, " 299 "},
      {"HTTP/1.1 404 None\r\n" + WHOLE + FIVE, " 404 "},
      {"HTTP/1.1 599 Odd\r\n" + WHOLE + FIVE, " 599 "},
      {"HTTP/1.1 999 Odd\r\n" + WHOLE + FIVE, " 999 "},
      {OK + "request-id:%s\r\nRESPONSE-SIGNATURE:whole\r\ncontent-length:5\r\n\r\nsound", " 200 "},
      {OK + "Request-Id:\t %s \t\r\nResponse-Signature: whole\r\n" + FIVE, " 200 "},
      {OK + "X-Empty:\r\n" + WHOLE + FIVE, "X-Empty: \r\n"},
      {OK + "X-Colons: a:b: c\r\n" + WHOLE + FIVE, "X-Colons: a:b: c\r\n"},
      {OK + "X-Folded: a\r\n b\r\n\tc\r\n" + WHOLE + FIVE, "X-Folded: a b c\r\n"},
      {OK + "X-Tab: a\tb\r\n" + WHOLE + FIVE, "X-Tab: a\tb\r\n"},
      {OK + "X-Text: \u00e9\u00ff\r\n" + WHOLE + FIVE, "X-Text: \u00e9\u00ff\r\n"},
      {OK + "X!#$%&'*+-.^_`|~9: a\r\n" + WHOLE + FIVE, "X!#$%&'*+-.^_`|~9: a\r\n"},
      {OK + "X-Twice: a\r\nX-Twice: b\r\n" + WHOLE + FIVE, "X-Twice: a\r\nX-Twice: b\r\n"},
      {OK + "Request-Id: %s\r\n" + WHOLE + FIVE, " 200 "},
      {OK + chunked.replace("%c", "chunked") + "5\r\nsound\r\n0\r\n\r\n", " 200 "},
      {OK + chunked.replace("%c", "Chunked \t") + "5\r\nsound\r\n0\r\n\r\n", " 200 "},
      {OK + chunked.replace("%c", ", chunked") + "5\r\nsound\r\n0\r\n\r\n", " 200 "},
      {OK + chunked.replace("%c", "chunked") + "005;a=b\r\nsound\r\n00\r\n\r\n", " 200 "},
      {OK + chunked.replace("%c", "chunked") + "5\r\nsound\r\n0\r\nX-A: 1\r\n 2\r\n\r\n", " 200 "},
      {"HTTP/1.1 100 Continue\r\n\r\n" + SOUND, " 200 "},
      {"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Busy\r\n\r\n" + SOUND, " 200 "},
    };
  }

  @Test(dataProvider = "soundAnswers", timeOut = TIMEOUT_MS)
  public void lawfulAnswerIsPassedOn(String answer, String expected) throws Exception {
    for (int vm : List.of(SOUND_VM, CUT_VM)) {
      Arrival arrival =
          cluster.sendUntilItArrives(answer, id -> cluster.call(vm, "POST", "/once/x", id, "body"));
      assertThat(arrival.received()).contains(expected, "whole").endsWith("\r\n\r\nsound");
      assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(1);
    }
  }
}
