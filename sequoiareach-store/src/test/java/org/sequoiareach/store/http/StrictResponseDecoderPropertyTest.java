package org.sequoiareach.store.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
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

  private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

  private static final String FIELD = "(" + TOKEN + "):([\\t\\x20-\\x7e\\x80-\\xff]*)\r\n";

  private static final Pattern FIELDS = Pattern.compile("((?:" + FIELD + ")*)\r\n");

  private static final String CHUNK_EXTENSIONS =
      "(?:[ \\t]*;[ \\t]*" + TOKEN + "(?:[ \\t]*=[ \\t]*(?:" + TOKEN + "|\"[ 0-9a-z]*\"))?)*";

  private static final Pattern CHUNK_LINE = chunkLine(CHUNK_EXTENSIONS);

  /** Extensions are ignored, so that their inner grammar does not matter. */
  private static final Pattern CHUNK_LINE_WITH_ANY_EXTENSION =
      chunkLine("(?:[ \\t]*;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

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

  @Property(tries = 20_000)
  void acceptsChunksExactlyIfGrammarDoes(
      @ForAll("chunks") String chunks,
      @ForAll Kind kind,
      @ForAll @IntRange(max = 60) int index,
      @ForAll("octets") char octet,
      @ForAll boolean divided) {
    String changed = kind.apply(chunks, index % chunks.length(), octet);

    Optional<String> body = decodeBody(changed, divided);

    if (body.isPresent()) {
      assertThat(body).as(changed).isEqualTo(parseBody(changed, CHUNK_LINE_WITH_ANY_EXTENSION));
    } else {
      assertThat(parseBody(changed, CHUNK_LINE)).as(changed).isEmpty();
    }
  }

  private static Pattern chunkLine(String extensions) {
    return Pattern.compile("([0-9A-Fa-f]{1,15})" + extensions + "\r\n");
  }

  /** Returns the body of a message in chunks; empty if the message is invalid or incomplete. */
  private static Optional<String> parseBody(String chunks, Pattern chunkLine) {
    StringBuilder body = new StringBuilder();
    Matcher line = chunkLine.matcher(chunks);
    while (line.lookingAt()) {
      int start = line.end();
      long size = Long.parseLong(line.group(1), 16);
      if (size == 0) {
        boolean ended = FIELDS.matcher(chunks).region(start, chunks.length()).lookingAt();
        return ended ? Optional.of(body.toString()) : Optional.empty();
      }
      if (size > chunks.length() || !chunks.startsWith("\r\n", start + (int) size)) {
        return Optional.empty();
      }
      int end = start + (int) size;
      body.append(chunks, start, end);
      line.region(end + 2, chunks.length());
    }
    return Optional.empty();
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
        "Cache-Control: no-store\r\n!#$%&'*+-.^_`|~09azAZ: Grüße \"(),/:;<=>?@[]{}\\\"\r\n\r\n");
  }

  @Provide
  Arbitrary<String> chunks() {
    return Arbitraries.of(
        "0\r\n\r\n",
        "2\r\nok\r\n0\r\n\r\n",
        "00A;a=\"b c\"\r\n0123456789\r\n0 ; last\r\nX-A: 1\r\nX-B:\r\n\r\n",
        "4\r\n\r\n\r\n\r\n1\r\n\n\r\n000\r\n\r\n");
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
    return decodeObjects(text, divided).stream()
        .findFirst()
        .filter(head -> head.decoderResult().isSuccess())
        .map(HttpResponse.class::cast);
  }

  /** Returns the decoded body; empty if it is reported as invalid or remains incomplete. */
  private static Optional<String> decodeBody(String chunks, boolean divided) {
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    StringBuilder body = new StringBuilder();
    for (HttpObject object : decodeObjects(head + chunks, divided)) {
      if (object.decoderResult().isFailure()) {
        return Optional.empty();
      }
      if (object instanceof HttpContent part) {
        body.append(part.content().toString(StandardCharsets.ISO_8859_1));
      }
      if (object instanceof LastHttpContent) {
        return Optional.of(body.toString());
      }
    }
    return Optional.empty();
  }

  private static List<HttpObject> decodeObjects(String text, boolean divided) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new StrictResponseDecoder(new HttpDecoderConfig()));
    int step = divided ? 1 : text.length();
    for (int i = 0; i < text.length(); i += step) {
      String part = text.substring(i, i + step);
      channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
    }
    channel.finish();
    return channel.inboundMessages().stream().map(HttpObject.class::cast).toList();
  }
}
