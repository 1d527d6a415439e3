package org.sequoiareach.store.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Compares the decoder with the grammar of RFC 9112 for heads in which one byte was changed. */
class StrictResponseDecoderPropertyTest {

  /** Changes a text at an index. */
  private interface Change {
    String apply(String text, int index, char octet);
  }

  private enum Kind implements Change {
    INSERT {
      @Override
      public String apply(String text, int index, char octet) {
        return text.substring(0, index) + octet + text.substring(index);
      }
    },
    REPLACE {
      @Override
      public String apply(String text, int index, char octet) {
        return text.substring(0, index) + octet + text.substring(index + 1);
      }
    },
    REMOVE {
      @Override
      public String apply(String text, int index, char octet) {
        return text.substring(0, index) + text.substring(index + 1);
      }
    }
  }

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] ([1-5][0-9]{2})(?: ([\\t\\x20-\\x7e\\x80-\\xff]*))?\r\n");

  private static final String FIELD =
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\\t\\x20-\\x7e\\x80-\\xff]*)\r\n";

  private static final Pattern FIELDS = Pattern.compile("((?:" + FIELD + ")*)\r\n");

  @Property(tries = 20_000)
  void acceptsStatusLineExactlyIfGrammarDoes(
      @ForAll("statusLines") String line,
      @ForAll Kind kind,
      @ForAll @IntRange(max = 40) int index,
      @ForAll("octets") char octet,
      @ForAll boolean divided) {
    String changed = kind.apply(line, index % line.length(), octet);
    Matcher sound = STATUS_LINE.matcher(changed);

    Optional<HttpResponse> decoded = decode(changed + "Server: a\r\n\r\n", divided);

    assertThat(decoded.isPresent()).as(changed).isEqualTo(sound.matches());
    decoded.ifPresent(
        response -> {
          assertThat(response.status().code()).isEqualTo(Integer.parseInt(sound.group(1)));
          String reason = Optional.ofNullable(sound.group(2)).orElse("");
          assertThat(response.status().reasonPhrase().strip()).isEqualTo(reason.strip());
        });
  }

  @Property(tries = 20_000)
  void acceptsFieldsExactlyIfGrammarDoes(
      @ForAll("fields") String fields,
      @ForAll Kind kind,
      @ForAll @IntRange(max = 100) int index,
      @ForAll("octets") char octet,
      @ForAll boolean divided) {
    String changed = kind.apply(fields, index % fields.length(), octet);
    Matcher sound = FIELDS.matcher(changed);

    Optional<HttpResponse> decoded = decode("HTTP/1.1 200 OK\r\n" + changed, divided);

    // What follows an empty line is a body.
    assertThat(decoded.isPresent()).as(changed).isEqualTo(sound.lookingAt());
    decoded.ifPresent(
        response ->
            assertThat(describe(response.headers().entries()))
                .isEqualTo(describe(parseFields(sound.group(1)))));
  }

  private static List<Map.Entry<String, String>> parseFields(String fields) {
    return Pattern.compile(FIELD)
        .matcher(fields)
        .results()
        .map(field -> Map.entry(field.group(1), field.group(2).strip()))
        .toList();
  }

  private static List<String> describe(List<Map.Entry<String, String>> fields) {
    return fields.stream().map(field -> field.getKey() + ": " + field.getValue()).toList();
  }

  @Provide
  Arbitrary<String> fields() {
    return Arbitraries.of(
        "\r\n",
        "A:\r\n\r\n",
        "X-A: 1\r\nX-B:\ta b\t\r\n\r\n",
        "Server-Leaving: 1\r\n!#$%&'*+-.^_`|~09azAZ: Grüße \"(),/:;<=>?@[]{}\\\"\r\n\r\n");
  }

  @Provide
  Arbitrary<String> statusLines() {
    return Arbitraries.of(
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 503 Service Unavailable\r\n",
        "HTTP/1.1 404 \r\n",
        "HTTP/1.1 500\r\n",
        "HTTP/1.1 299 Grüße, 1\t2\r\n");
  }

  @Provide
  Arbitrary<Character> octets() {
    Arbitrary<Character> any = Arbitraries.chars().range((char) 0, (char) 0xff);
    Arbitrary<Character> special =
        Arbitraries.of(
            (char) 0, '\t', '\n', (char) 0x0b, '\r', ' ', ':', ';', '+', '-', '0', (char) 0x7f);
    return Arbitraries.oneOf(any, special);
  }

  /** Returns the decoded head; empty if it is reported as invalid or remains incomplete. */
  private static Optional<HttpResponse> decode(String text, boolean divided) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new StrictResponseDecoder(new HttpDecoderConfig()));
    int step = divided ? 1 : text.length();
    for (int i = 0; i < text.length(); i += step) {
      String part = text.substring(i, i + step);
      channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
    }
    channel.finish();
    Object first = channel.readInbound();
    channel.releaseInbound();
    return first instanceof HttpResponse response && response.decoderResult().isSuccess()
        ? Optional.of(response)
        : Optional.empty();
  }
}
