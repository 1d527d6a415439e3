package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.upstream.ResponseFraming;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.Continuation;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/**
 * Guards against callers that see anything but the events of their run, whatever bytes servers
 * send. Not covered: wrong contents under the right number, which the gateway can't know.
 */
class EventStreamFuzzTest {

  private static final long FIRST_SEED = Long.getLong("fuzz.first", 1);
  private static final int SCRIPTS = Integer.getInteger("fuzz.scripts", 1_500);
  private static final int MAX_ATTEMPTS = 3;
  private static final long TIMEOUT_MS = 60_000;

  private static final LoopResources RESOURCES = LoopResources.create("fuzz", 1, true);
  private static final EventLoop LOOP = RESOURCES.onServer(false).next();

  /** Soundly framed blocks and lines that make no event. */
  private static final List<String> FILLERS =
      List.of(": ping\n\n", ":\n", "\n", "\r\n", ": a\r\n\r\n", "retry: 20\n\n", ": \0\377\n");

  /** Garbage; {@code @} stands for the number that is due. None has the due number and data. */
  private static final List<String> GARBAGE =
      List.of(
          "data: stray\n\n",
          "id:\ndata: stray\n\n",
          "id\ndata: stray\n\n",
          "id: \ndata: stray\n\n",
          "id: x@\ndata: stray\n\n",
          "id: +@\ndata: stray\n\n",
          "id: 0@\ndata: stray\n\n",
          "id:  @\ndata: stray\n\n",
          "id: @ \ndata: stray\n\n",
          "id: @\0\ndata: stray\n\n",
          "id: 99999999999999999999@\ndata: stray\n\n",
          "id: @\nid:\ndata: stray\n\n",
          "id: @\nid: @\ndata: stray\n\n",
          "id: @\rid:\rdata: stray\n\n",
          "id: @\rdata: stray\r\r",
          ": ping\rdata: stray\r\r\n",
          "data: stray\r\r\n",
          "\357\273\277id: @\ndata: stray\n\n",
          "\357\273\277\n\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "event: stray\n\n",
          "id: @\n\n",
          "stray\n\n",
          "{\"stray\": 1}\n",
          "Data: stray\n\n",
          "data : stray\n\n",
          " data: stray\n\n",
          "retry: x\n\n",
          "\0\0\0\n\n",
          "\0",
          "\u0016\u0003\u0001\u0002\n\n",
          "\377\376\200\n\n",
          "5\r\nid: @\r\ndata: stray\r\n\r\n",
          "id: @77\ndata: stray\n\n",
          "i",
          "id: ",
          "id: @",
          "id: @\nda",
          "id: @\nid: @\ndata: stray",
          "\rdata: stray\n\n");

  /** What a piece of a server's stream is. */
  private enum Kind {
    EVENT,
    REPEATED,
    FILLER,
    GARBAGE
  }

  /**
   * A piece of a server's stream.
   *
   * @param text its bytes, one character for each
   */
  private record Piece(Kind kind, String text) {}

  /**
   * An event as a caller sees it.
   *
   * @param id its last event id
   */
  private record SeenEvent(String id, String type, String data) {}

  /** How the stream of a case begins. */
  private enum Start {
    FIRST,
    RESUMED_BY_CALLER,
    CONTINUED
  }

  @AfterAll
  static void stop() {
    RESOURCES.dispose();
  }

  @ParameterizedTest
  @EnumSource(Start.class)
  void callerSeesEachEventOfItsRunOnceAndInOrder(Start start) {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCRIPTS; seed++) {
      Script script = new Script(seed, start);
      try {
        script.play();
      } catch (AssertionError | RuntimeException e) {
        violations.add("seed " + seed + ": " + script.sent + "\n" + e);
      }
    }

    assertThat(violations.stream().limit(3))
        .as("%d of %d scripts fail", violations.size(), SCRIPTS)
        .isEmpty();
  }

  /** One request, from its first attempt to the end of its answer. */
  private static final class Script {

    private final Random random;
    private final Start start;
    private final boolean resumable;
    private final int events;
    private final int resumeAfter;
    private final List<String> run = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    private final RecordingWriter response = new RecordingWriter();
    private final ProxyExchange exchange;
    private int received;
    private boolean wholeSent;
    private boolean mayBeComplete;

    private Script(long seed, Start start) {
      random = new Random(seed * 31 + start.ordinal());
      this.start = start;
      resumable = start == Start.RESUMED_BY_CALLER || random.nextBoolean();
      events = 1 + random.nextInt(5);
      resumeAfter = start == Start.RESUMED_BY_CALLER ? random.nextInt(events) : 0;
      for (int id = 1; id <= events; id++) {
        run.add(makeEvent(id));
      }
      exchange = createExchange(resumeAfter, response);
      received = resumeAfter;
      if (start == Start.RESUMED_BY_CALLER) {
        // Not sent, because it is outdated; the exchange reads where the caller resumes.
        exchange.send(sendCall(0, MonotonicClock.nowMs() - 1));
      }
    }

    private void play() {
      boolean delivered = false;
      for (int number = 1; number <= (resumable ? MAX_ATTEMPTS : 1) && !delivered; number++) {
        playAttempt(number);
        delivered = response.finished;
        checkSeen();
        assertThat(delivered && !mayBeComplete).as("told as complete").isFalse();
        assertThat(wholeSent && !delivered).as("sound stream not delivered").isFalse();
      }
      if (!delivered) {
        exchange.abort(Reason.DEADLINE);
        assertThat(response.finished).isFalse();
      }
    }

    /** Sends a stream, as far as the handler reads it, and works out what the caller has of it. */
    private void playAttempt(int number) {
      List<Piece> pieces = makePieces(received);
      ResponseFraming framing = ResponseFraming.values()[random.nextInt(3)];
      StringBuilder text = new StringBuilder();
      pieces.forEach(piece -> text.append(piece.text()));
      int length = random.nextInt(4) == 0 ? random.nextInt(text.length() + 1) : text.length();
      sent.add(framing + " " + length + " " + pieces);
      expect(pieces, length, length < text.length() && framing != ResponseFraming.CONNECTION);
      boolean empty =
          pieces.stream()
              .allMatch(piece -> piece.kind() == Kind.FILLER || piece.kind() == Kind.GARBAGE);
      if (empty && framing == ResponseFraming.CONNECTION) {
        // Looks like an engine that broke down before its first event.
        mayBeComplete = false;
        wholeSent = false;
      }

      AttemptResponseHandler handler =
          new AttemptResponseHandler(
              exchange, sendCall(number, MonotonicClock.nowMs() + TIMEOUT_MS));
      handler.onHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
      byte[] bytes = text.substring(0, length).getBytes(StandardCharsets.ISO_8859_1);
      int maxPart = random.nextBoolean() ? 1 : 1 + random.nextInt(40);
      for (int from = 0; from < length && !handler.isDone(); ) {
        int to = Math.min(length, from + 1 + random.nextInt(maxPart));
        ByteBuf part = Unpooled.copiedBuffer(bytes, from, to - from);
        handler.onContent(part);
        part.release();
        from = to;
      }
      if (handler.isDone()) {
        return;
      }
      if (length < text.length() && framing != ResponseFraming.CONNECTION) {
        handler.onDisconnected("cut");
      } else {
        handler.onComplete(framing);
      }
    }

    private void expect(List<Piece> pieces, int length, boolean visiblyCut) {
      int end = 0;
      mayBeComplete = !visiblyCut;
      wholeSent = !visiblyCut;
      for (Piece piece : pieces) {
        end += piece.text().length();
        boolean begun = end - piece.text().length() < length;
        if (piece.kind() == Kind.GARBAGE && begun) {
          mayBeComplete = false;
          wholeSent = false;
          return;
        }
        if (end > length) {
          mayBeComplete &= !begun || piece.kind() == Kind.FILLER;
          wholeSent = false;
          return;
        }
        received += piece.kind() == Kind.EVENT ? 1 : 0;
      }
    }

    private List<Piece> makePieces(int after) {
      int first = Math.max(1, after + 1 - random.nextInt(3));
      int garbageBefore = random.nextInt(5) < 3 ? first + random.nextInt(events + 2 - first) : 0;
      List<Piece> pieces = new ArrayList<>();
      for (int id = first; id <= events + 1; id++) {
        while (random.nextInt(4) == 0) {
          pieces.add(new Piece(Kind.FILLER, pick(FILLERS)));
        }
        int due = Math.max(after + 1, id);
        if (id == garbageBefore) {
          pieces.add(new Piece(Kind.GARBAGE, makeGarbage(due)));
        } else if (due > 1 && random.nextInt(8) == 0) {
          String stray = "id: " + (1 + random.nextInt(due - 1)) + "\ndata: stray\n\n";
          pieces.add(new Piece(Kind.REPEATED, stray));
        }
        if (id <= events) {
          pieces.add(new Piece(id <= after ? Kind.REPEATED : Kind.EVENT, run.get(id - 1)));
        }
      }
      return pieces;
    }

    private String makeGarbage(int due) {
      if (random.nextInt(8) == 0) {
        return "id: " + (due + 1 + random.nextInt(9)) + "\ndata: stray\n\n";
      }
      return pick(GARBAGE).replace("@", Integer.toString(due));
    }

    private String makeEvent(int id) {
      String end = random.nextBoolean() ? "\n" : "\r\n";
      StringBuilder event = new StringBuilder();
      event.append(random.nextInt(5) == 0 ? "kind: 4" + end : "");
      String number = (random.nextBoolean() ? "id: " : "id:") + id + end;
      String name = random.nextInt(3) == 0 ? "event: token" + end : "";
      event.append(random.nextBoolean() ? number + name : name + number);
      event.append(random.nextInt(6) == 0 ? ": note" + end : "");
      for (int line = random.nextInt(3); line >= 0; line--) {
        String data = pick(List.of("data", "data:", "data: é: x", "data: \0\200\377"));
        event.append(data).append(data.startsWith("data: ") ? id : "").append(end);
      }
      return event.append(end).toString();
    }

    private String pick(List<String> choices) {
      return choices.get(random.nextInt(choices.size()));
    }

    private DispatchEffect.SendCall sendCall(int number, long deadlineMs) {
      RoutedTarget at = new RoutedTarget("i-1", 1, "desk", "127.0.0.1:9", "z1", 1, false);
      return new DispatchEffect.SendCall(
          "r-1#1",
          number,
          at,
          resumable ? RouteKind.RESUMABLE_STREAMING : RouteKind.STREAMING,
          Optional.empty(),
          0,
          1,
          deadlineMs,
          deadlineMs,
          start == Start.CONTINUED
              ? Optional.of(new Continuation(at.address(), "h1"))
              : Optional.empty());
    }

    private void checkSeen() {
      String body = response.body.toString(StandardCharsets.ISO_8859_1);
      String expected = String.join("", run.subList(resumeAfter, received));
      assertThat(parse(body)).isEqualTo(parse(expected)).hasSize(received - resumeAfter);
      assertThat(parse(body))
          .extracting(SeenEvent::id)
          .containsExactlyElementsOf(
              run.subList(resumeAfter, received).stream()
                  .map(event -> Integer.toString(run.indexOf(event) + 1))
                  .toList());
      assertThat(splitAtBlankLines(body)).isEqualTo(splitAtBlankLines(expected));
    }
  }

  /** Reads an event stream as WHATWG HTML says, with lines that end with LF, CR or both. */
  private static List<SeenEvent> parse(String stream) {
    List<SeenEvent> seen = new ArrayList<>();
    String text = stream.startsWith("\357\273\277") ? stream.substring(3) : stream;
    String id = "";
    String type = "";
    StringBuilder data = new StringBuilder();
    int from = 0;
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if (next != '\n' && next != '\r') {
        continue;
      }
      String line = text.substring(from, i);
      i += next == '\r' && text.startsWith("\n", i + 1) ? 1 : 0;
      from = i + 1;
      if (line.isEmpty()) {
        if (data.length() > 0) {
          seen.add(new SeenEvent(id, type, data.substring(0, data.length() - 1)));
        }
        type = "";
        data.setLength(0);
        continue;
      }
      int colon = line.indexOf(':');
      String name = colon < 0 ? line : line.substring(0, colon);
      String value = colon < 0 ? "" : line.substring(colon + 1);
      value = value.startsWith(" ") ? value.substring(1) : value;
      switch (name) {
        case "data" -> data.append(value).append('\n');
        case "event" -> type = value;
        case "id" -> id = value.indexOf('\0') < 0 ? value : id;
        default -> {}
      }
    }
    return seen;
  }

  /** Reads the blocks between blank lines as simple callers do, without those of no event. */
  private static List<String> splitAtBlankLines(String stream) {
    List<String> blocks = new ArrayList<>();
    StringBuilder block = new StringBuilder();
    for (String line : stream.split("(?<=\n)")) {
      if (line.equals("\n") || line.equals("\r\n") || line.isEmpty()) {
        if (block.length() > 0) {
          blocks.add(block.toString());
        }
        block.setLength(0);
      } else if (!line.startsWith(":") && !line.startsWith("retry: 20")) {
        block.append(line);
      }
    }
    if (block.length() > 0) {
      blocks.add("incomplete: " + block);
    }
    return blocks;
  }

  private static ProxyExchange createExchange(int resumeAfter, ResponseWriter response) {
    ProxyExchangeContext context =
        new ProxyExchangeContext(
            new StreamDialect(
                new NumberedEventStreamFormat(Set.of("kind")),
                resumeAfter > 0 ? OptionalLong.of(resumeAfter) : OptionalLong.empty()),
            new TargetConnectionManager(LOOP, RESOURCES),
            event -> {},
            new MetricRegistry(),
            LOOP,
            new SuspensionDetector(),
            new HashSet<>(),
            new HeldBytes(1 << 20));
    long nowMs = MonotonicClock.nowMs();
    CallProfile profile =
        new CallProfile(
            "r-1",
            "mill.example",
            "/booking/1",
            Optional.empty(),
            nowMs,
            nowMs + TIMEOUT_MS,
            Optional.empty());
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/booking/1");
    return new ProxyExchange(
        context, "r-1#1", profile, request, Unpooled.buffer(), response, () -> {});
  }

  /** Records the body and its end. */
  private static final class RecordingWriter implements ResponseWriter {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean finished;

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {}

    @Override
    public void sendContent(ByteBuf part) {
      byte[] bytes = new byte[part.readableBytes()];
      part.readBytes(bytes);
      body.writeBytes(bytes);
      part.release();
    }

    @Override
    public void finish() {
      finished = true;
    }

    @Override
    public void abort() {}

    @Override
    public void onWritabilityChanged(Consumer<Boolean> listener) {}
  }
}
