package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of heads of answers, in one piece and in several. */
class AnswerDecoderProperties {

  private static final String TOKEN = "!#$%&'*+-.^_`|~019AZaz";

  /** A field of a head, and the blanks on both sides of its value. */
  private record Field(String name, String before, String value, String after) {

    String line() {
      return name + ":" + before + value + after + "\r\n";
    }
  }

  @Provide
  Arbitrary<List<Field>> fields() {
    Arbitrary<String> names =
        Arbitraries.strings().withChars(TOKEN).ofMinLength(1).ofMaxLength(12).map(n -> "X-" + n);
    Arbitrary<String> blanks = Arbitraries.strings().withChars(" \t").ofMaxLength(3);
    Arbitrary<String> values =
        Arbitraries.strings()
            .withCharRange('!', '~')
            .withCharRange('\u0080', '\u00ff')
            .ofMaxLength(20);
    return Combinators.combine(names, blanks, values, blanks).as(Field::new).list().ofMaxSize(5);
  }

  /** Returns sizes of pieces, of which the last repeats. */
  @Provide
  Arbitrary<int[]> pieces() {
    return Arbitraries.integers().between(1, 40).array(int[].class).ofMinSize(1).ofMaxSize(8);
  }

  @Provide
  Arbitrary<Character> bytesOutsideNames() {
    return Arbitraries.chars()
        .range('\u0000', '\u00ff')
        .filter(c -> c != ':' && c != '\n' && TOKEN.indexOf(c) < 0 && !isAlphanumeric(c));
  }

  private static boolean isAlphanumeric(char c) {
    return c < 0x80 && Character.isLetterOrDigit(c);
  }

  @Property(seed = "58")
  void everyLawfulHeadIsPassedOnWhole(
      @ForAll("fields") List<Field> fields, @ForAll("pieces") int[] pieces) {
    int status = 100 + 100 * (fields.size() + 1) + pieces[0];
    List<HttpObject> received = decode(answer("HTTP/1.1 " + status + " Any", fields), pieces);
    HttpResponse head = (HttpResponse) received.get(0);
    assertThat(received).allMatch(part -> part.decoderResult().isSuccess());
    assertThat(head.status().code()).isEqualTo(status);
    for (Field field : fields) {
      assertThat(head.headers().getAll(field.name())).contains(field.value());
    }
    received.forEach(ReferenceCountUtil::release);
  }

  @Property(seed = "58")
  void nothingIsPassedOnOfAHeadWithABrokenName(
      @ForAll("fields") List<Field> fields,
      @ForAll("bytesOutsideNames") char illegal,
      @ForAll("pieces") int[] pieces) {
    List<Field> broken = new ArrayList<>(fields);
    broken.add(fields.size() / 2, new Field("X" + illegal + "a", " ", "b", ""));
    assertBroken(decode(answer("HTTP/1.1 200 OK", broken), pieces));
  }

  @Property(seed = "58")
  void nothingIsPassedOnOfAHeadWithABrokenValue(
      @ForAll("fields") List<Field> fields, @ForAll("pieces") int[] pieces) {
    for (char illegal : "\u0000\u0001\u0008\u000b\u000c\r\u001b\u007f".toCharArray()) {
      List<Field> broken = new ArrayList<>(fields);
      broken.add(fields.size() / 2, new Field("X-A", " ", "a" + illegal + "b", ""));
      assertBroken(decode(answer("HTTP/1.1 200 OK", broken), pieces));
    }
  }

  @Property(seed = "58")
  void onlyThreeDigitsFromOneHundredOnAreAStatus(
      @ForAll("statuses") String status, @ForAll("pieces") int[] pieces) {
    List<HttpObject> received = decode(answer("HTTP/1.1 " + status + " Any", List.of()), pieces);
    if (status.matches("[1-9][0-9]{2}") && !status.equals("101")) {
      assertThat(received).allMatch(part -> part.decoderResult().isSuccess());
    } else {
      assertBroken(received);
    }
    received.forEach(ReferenceCountUtil::release);
  }

  @Provide
  Arbitrary<String> statuses() {
    return Arbitraries.strings().withChars("0123456789+-.ex").ofMinLength(1).ofMaxLength(5);
  }

  private static void assertBroken(List<HttpObject> received) {
    assertThat(received).hasSize(1);
    assertThat(received.get(0).decoderResult().isFailure()).isTrue();
  }

  private static String answer(String statusLine, List<Field> fields) {
    StringBuilder text = new StringBuilder(statusLine).append("\r\n");
    fields.forEach(field -> text.append(field.line()));
    return text.append("Content-Length: 2\r\n\r\nok").toString();
  }

  private static List<HttpObject> decode(String answer, int[] pieces) {
    AnswerDecoder decoder = new AnswerDecoder(List.of());
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    decoder.expect(HttpMethod.GET);
    byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
    int begin = 0;
    for (int i = 0; begin < bytes.length; i++) {
      int end = Math.min(bytes.length, begin + pieces[Math.min(i, pieces.length - 1)]);
      channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(bytes, begin, end)));
      begin = end;
    }
    List<HttpObject> received = new ArrayList<>();
    IntStream.range(0, channel.inboundMessages().size())
        .forEach(i -> received.add(channel.readInbound()));
    channel.close();
    return received;
  }
}
