package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.range.CommandOutcome;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeCommandClient.ReleaseResult;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.platform.HttpRangeCommandClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what the leader takes from answers to grants and releases that are none in the protocol.
 */
public class RangeCommandAnswersTests {

  private static final KeyRange RANGE = new KeyRange(0, 99);
  private static final long TIMEOUT_MS = 2000;
  private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n";
  private static final String EMPTY = "Content-Length: 0\r\n\r\n";

  private final EventLoopGroup loops = new ClosingEventLoopGroup(1);
  private final RangeCommandClient commands = new HttpRangeCommandClient(loops, 2, 1 << 16);
  private RawAnswerUpstream upstream;
  private volatile String answer = "";

  @BeforeMethod
  public void begin() throws IOException {
    upstream = new RawAnswerUpstream(id -> answer.replace("%s", id));
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws IOException {
    upstream.close();
  }

  @DataProvider
  public Object[][] brokenAnswers() {
    return new Object[][] {
      {OK + "Handover x: token\r\n" + EMPTY},
      {OK + "Handover : token\r\n" + EMPTY},
      {OK + "Handover: token\r\nX a: 1\r\n" + EMPTY},
      {OK + "Handover: token\r\nContent-Length : 0\r\n\r\n"},
      {OK + "Request-Id: other\r\nHandover: token\r\n" + EMPTY},
      {"HTTP/1.1 0200 OK\r\nRequest-Id: %s\r\nHandover: token\r\n" + EMPTY},
      {"HTTP/1.1 0409 Conflict\r\nRequest-Id: %s\r\n" + EMPTY},
      {"HTTP/1.1 000 OK\r\nRequest-Id: %s\r\n" + EMPTY},
    };
  }

  @Test(dataProvider = "brokenAnswers")
  public void outcomeIsUnknown(String broken) {
    answer = broken;
    ReleaseResult result = release();
    assertThat(result.outcome()).isEqualTo(CommandOutcome.UNKNOWN);
    assertThat(result.handover()).isEmpty();
    assertThat(grant()).isEqualTo(CommandOutcome.UNKNOWN);
  }

  @Test
  public void soundAnswerIsTaken() {
    answer = OK + "Handover: token\r\n" + EMPTY;
    assertThat(release().handover()).contains("token");
    assertThat(grant()).isEqualTo(CommandOutcome.DONE);
  }

  private UpstreamAddress address() {
    return new UpstreamAddress("127.0.0.1", upstream.port());
  }

  private ReleaseResult release() {
    return commands.release("u", address(), RANGE, 7, TIMEOUT_MS).join();
  }

  private CommandOutcome grant() {
    return commands
        .grant(
            "u",
            address(),
            RANGE,
            7,
            TimeUnit.SECONDS.toMillis(4),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MS)
        .join()
        .outcome();
  }
}
