package org.foxtailford.net.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests of what may be sent of a body. */
public class AnnouncedBodyTests {

  private static BodyPart part(long offset, int bytes, boolean last) {
    return new BodyPart(Unpooled.wrappedBuffer(new byte[bytes]), offset, last);
  }

  private static AnnouncedBody ofLength(long length) {
    return new AnnouncedBody(OptionalLong.of(length));
  }

  @Test
  public void partsThatFollowEachOtherAreSent() {
    AnnouncedBody body = ofLength(5);
    assertThat(body.tryAdd(part(0, 3, false))).isTrue();
    assertThat(body.tryAdd(part(3, 2, false))).isTrue();
    assertThat(body.tryAdd(part(5, 0, true))).isTrue();
    assertThat(body.sentBytes()).isEqualTo(5);
  }

  @Test
  public void nothingFollowsThePartThatEndsTheBody() {
    AnnouncedBody body = new AnnouncedBody(OptionalLong.empty());
    assertThat(body.tryAdd(part(0, 3, true))).isTrue();
    assertThat(body.tryAdd(part(3, 1, true))).isFalse();
  }

  @Test
  public void nothingFollowsAPartThatWasRefused() {
    AnnouncedBody body = new AnnouncedBody(OptionalLong.empty());
    assertThat(body.tryAdd(part(1, 1, false))).isFalse();
    assertThat(body.tryAdd(part(0, 3, true))).isFalse();
  }

  @Test
  public void bodyEndsAtItsAnnouncedLength() {
    assertThat(ofLength(5).tryAdd(part(0, 4, true))).isFalse();
    assertThat(ofLength(5).tryAdd(part(0, 6, true))).isFalse();
    assertThat(ofLength(5).tryAdd(part(0, 6, false))).isFalse();
    assertThat(ofLength(5).tryAdd(part(0, 5, true))).isTrue();
  }
}
