package org.sequoiareach.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.TargetHint;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.StoreHoldings;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.StoreReading;
import org.sequoiareach.model.route.ZoneMaintenance;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OperationEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.ServiceEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetDigest;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

class PeerCodecTest {

  @Property(tries = 500, seed = "1")
  void anyMessageRoundTrips(@ForAll("messages") PeerMessage message) throws PeerFrameException {
    assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
  }

  /** Guards against messages of daemons that do not know zones in maintenance and warm-ups yet. */
  @Example
  void messagesWithoutLaterComponentsAreRead() throws Exception {
    assertThat(decodeWithoutLast(news(7, Optional.empty()), "/1/1", "/1/1/0"))
        .isEqualTo(
            new StateMessage.StoreNewsAnnouncement(
                7,
                new StoreNews(
                    new StoreHoldings(1, 7, 3, 0L),
                    Optional.of(new StoreReading("reader", 5, new StoreHoldings(1, 7, 3, 7L))),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty())));
    PeerMessage snapshot =
        new StateMessage.StateSnapshot(
            Optional.empty(), Optional.empty(), Optional.of(new ZoneMaintenance(1, Set.of("z"))));
    assertThat(decodeWithoutLast(snapshot, "/1"))
        .isEqualTo(
            new StateMessage.StateSnapshot(Optional.empty(), Optional.empty(), Optional.empty()));
    LimitMessage.KnownLimit limit = new LimitMessage.KnownLimit("t", 1, OptionalDouble.empty(), 2);
    assertThat(
            decodeWithoutLast(
                new LimitMessage.PermitRequest(limit, "c", 9, OptionalLong.of(3)), "/1"))
        .isEqualTo(new LimitMessage.PermitRequest(limit, "c", 9, OptionalLong.empty()));
  }

  /** Decodes a message after removing the last component of each of the arrays at some paths. */
  private static PeerMessage decodeWithoutLast(PeerMessage message, String... paths)
      throws Exception {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    JsonNode tree = mapper.readTree(PeerCodec.encode(message));
    for (String path : paths) {
      ArrayNode components = (ArrayNode) tree.at(path);
      components.remove(components.size() - 1);
    }
    return PeerCodec.decode(mapper.writeValueAsBytes(tree));
  }

  @Property(tries = 2_000, seed = "1")
  void arbitraryBytesAreRejectedOrDecoded(@ForAll byte[] payload) {
    decodeOrReject(payload);
  }

  @Property(tries = 2_000, seed = "1")
  void modifiedMessagesAreRejectedOrDecoded(
      @ForAll("messages") PeerMessage message, @ForAll int position, @ForAll byte value) {
    byte[] payload = PeerCodec.encode(message);
    payload[Math.floorMod(position, payload.length)] = value;
    decodeOrReject(payload);
  }

  @Property(tries = 50, seed = "1")
  void declaredLengthsAreCheckedBeforeAllocation(@ForAll("lengthFormats") byte format) {
    byte[] payload = {format, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
    assertThatExceptionOfType(PeerFrameException.class).isThrownBy(() -> PeerCodec.decode(payload));
  }

  @Provide
  Arbitrary<Byte> lengthFormats() {
    return Arbitraries.of((byte) 0xc6, (byte) 0xc9, (byte) 0xdb, (byte) 0xdd, (byte) 0xdf);
  }

  @Provide
  Arbitrary<PeerMessage> messages() {
    return Arbitraries.oneOf(
        attempts(), answers(), membership(), sheets(), limits(), quarantines(), states());
  }

  private static Arbitrary<PeerMessage> attempts() {
    Arbitrary<PeerMessage> open =
        Combinators.combine(text(), specs(), millis(), headers(), bytes())
            .as(
                (id, spec, ms, headers, body) ->
                    new AttemptMessage.OpenAttempt(
                        id,
                        "engine-1",
                        spec,
                        3,
                        ms,
                        (int) (ms % 100_000) + 1,
                        "POST",
                        "/v1",
                        headers,
                        body));
    Arbitrary<PeerMessage> cancel =
        text().map(id -> new AttemptMessage.CancelAttempt(id, id.length() % 2 == 0));
    Arbitrary<PeerMessage> grant =
        Combinators.combine(text(), Arbitraries.integers().greaterOrEqual(1))
            .as(AttemptMessage.GrantCredit::new);
    return Arbitraries.oneOf(open, cancel, grant);
  }

  private static Arbitrary<PeerMessage> answers() {
    Arbitrary<PeerMessage> head =
        Combinators.combine(text(), Arbitraries.integers().between(100, 599), headers(), hints())
            .as(
                (id, status, headers, hint) ->
                    new AttemptMessage.AttemptHead(id, "engine-1", status, headers, hint));
    Arbitrary<PeerMessage> data =
        Combinators.combine(text(), millis(), bytes(), Arbitraries.integers().between(0, 99))
            .as((id, seq, bytes, n) -> new AttemptMessage.AttemptData(id, seq + 1, bytes, n));
    Arbitrary<PeerMessage> end =
        Combinators.combine(text(), outcomes(), hints()).as(AttemptMessage.AttemptEnd::new);
    Arbitrary<PeerMessage> rejected =
        Combinators.combine(text(), Arbitraries.of(Reason.class), millis(), hints())
            .as(
                (id, reason, ms, hint) ->
                    new AttemptMessage.AttemptRejected(id, reason, "No room.", ms, hint));
    return Arbitraries.oneOf(head, data, end, rejected);
  }

  private static Arbitrary<PeerMessage> membership() {
    Arbitrary<List<MemberUpdate>> updates =
        Combinators.combine(text(), millis(), Arbitraries.of(MemberState.class))
            .as((id, number, state) -> new MemberUpdate(id, "127.0.0.1:1", "a", number, state))
            .list()
            .ofMaxSize(5);
    Arbitrary<PeerMessage> probe =
        Combinators.combine(millis(), updates, statuses()).as(MembershipMessage.Probe::new);
    Arbitrary<PeerMessage> ack =
        Combinators.combine(millis(), text(), updates, statuses().optional())
            .as(MembershipMessage.ProbeAck::new);
    Arbitrary<PeerMessage> indirect =
        Combinators.combine(millis(), text(), text(), updates)
            .as(MembershipMessage.IndirectProbe::new);
    return Arbitraries.oneOf(probe, ack, indirect);
  }

  private static Arbitrary<PeerMessage> sheets() {
    Arbitrary<PeerMessage> announced = statuses().map(SheetMessage.SheetAnnounced::new);
    Arbitrary<PeerMessage> asked = millis().map(SheetMessage.SheetStatusAsked::new);
    Arbitrary<PeerMessage> answered =
        Combinators.combine(millis(), statuses()).as(SheetMessage.SheetStatusAnswered::new);
    Arbitrary<PeerMessage> pull =
        Combinators.combine(millis(), Arbitraries.longs().list().ofMaxSize(9))
            .as(SheetMessage.SheetPull::new);
    Arbitrary<PeerMessage> sections =
        Combinators.combine(text(), millis())
            .as((name, version) -> sections(sheet(name, version + 1)));
    return Arbitraries.oneOf(announced, pull, sections, asked, answered);
  }

  private static Arbitrary<PeerMessage> limits() {
    Arbitrary<OptionalDouble> rates =
        Arbitraries.of(OptionalDouble.empty(), OptionalDouble.of(0), OptionalDouble.of(3.3));
    Arbitrary<LimitMessage.KnownLimit> known =
        Combinators.combine(text(), millis(), rates, millis()).as(LimitMessage.KnownLimit::new);
    Arbitrary<PeerMessage> announced =
        known.list().ofMaxSize(3).map(LimitMessage.LimitsAnnouncement::new);
    Arbitrary<PeerMessage> loan =
        Combinators.combine(known, Arbitraries.integers().greaterOrEqual(1))
            .as(LimitMessage.ShareLoan::new);
    Arbitrary<PeerMessage> request =
        Combinators.combine(
                known,
                text(),
                millis(),
                Arbitraries.of(OptionalLong.empty(), OptionalLong.of(0), OptionalLong.of(850)))
            .as(LimitMessage.PermitRequest::new);
    Arbitrary<PeerMessage> response =
        Combinators.combine(text(), text(), Arbitraries.of(true, false), millis())
            .as(LimitMessage.PermitResponse::new);
    Arbitrary<PeerMessage> spent = known.map(LimitMessage.SpentPermit::new);
    return Arbitraries.oneOf(announced, loan, request, response, spent);
  }

  private static Arbitrary<PeerMessage> states() {
    Arbitrary<Optional<ZoneMaintenance>> zones =
        Combinators.combine(millis(), text().set().ofMaxSize(3))
            .as(ZoneMaintenance::new)
            .optional();
    Arbitrary<PeerMessage> snapshot =
        zones.map(
            known -> new StateMessage.StateSnapshot(Optional.empty(), Optional.empty(), known));
    Arbitrary<PeerMessage> news = Combinators.combine(millis(), zones).as(PeerCodecTest::news);
    return Arbitraries.oneOf(snapshot, news);
  }

  private static PeerMessage news(long position, Optional<ZoneMaintenance> zones) {
    StoreHoldings holdings = new StoreHoldings(1, position, 3, position);
    return new StateMessage.StoreNewsAnnouncement(
        position,
        new StoreNews(
            holdings,
            Optional.of(new StoreReading("reader", 5, holdings)),
            Optional.empty(),
            Optional.empty(),
            zones));
  }

  private static Arbitrary<PeerMessage> quarantines() {
    Arbitrary<List<String>> traits =
        Arbitraries.of("caller-1", "part-1", "part-2")
            .list()
            .uniqueElements()
            .ofMinSize(2)
            .ofMaxSize(3)
            .map(digests -> new RequestTraits(digests).digests());
    Arbitrary<PeerMessage> crashes =
        Combinators.combine(text(), millis(), text(), text(), millis(), traits.list().ofMaxSize(3))
            .as(QuarantineMessage.KnownCrash::new)
            .list()
            .ofMaxSize(3)
            .map(QuarantineMessage.CrashAnnouncement::new);
    Arbitrary<OptionalLong> lifts = Arbitraries.of(OptionalLong.empty(), OptionalLong.of(7));
    Arbitrary<Integer> counts = Arbitraries.integers().greaterOrEqual(1);
    Arbitrary<PeerMessage> announced =
        Combinators.combine(
                traits, counts, millis(), millis(), millis(), Arbitraries.longs(), counts, lifts)
            .as(QuarantineMessage.KnownQuarantine::new)
            .list()
            .ofMaxSize(3)
            .map(QuarantineMessage.QuarantineAnnouncement::new);
    return Arbitraries.oneOf(crashes, announced);
  }

  private static PeerMessage sections(Sheet sheet) {
    return new SheetMessage.SheetSections(
        SheetManifest.of(sheet), Optional.of(SheetCatalogue.of(sheet)), sheet.organisations());
  }

  private static Sheet sheet(String name, long version) {
    OperationEntry operation = new OperationEntry("GET", "/orders/*", true);
    OrganisationEntry organisation =
        new OrganisationEntry(
            name,
            List.of("sha256:" + "0".repeat(64)),
            2,
            List.of("m"),
            List.of("s"),
            new PlanEntry(version, 7),
            new LimitsEntry(1, 2));
    return new Sheet(
        version,
        List.of(new ModelEntry("m", "1", 4_096, 0.25, 1.5)),
        List.of(new ServiceEntry("s", List.of(operation))),
        List.of(organisation));
  }

  private static Arbitrary<RequestSpec> specs() {
    Arbitrary<Integer> tokens = Arbitraries.integers().between(0, Integer.MAX_VALUE);
    Arbitrary<List<Long>> prefixes = Arbitraries.longs().list().ofMaxSize(4);
    return Combinators.combine(
            text(), Arbitraries.of(RequestKind.class), Arbitraries.strings(), tokens, prefixes)
        .as(
            (id, kind, call, count, digests) ->
                new RequestSpec(
                    id, "org", kind, "m", call, true, call, count, count, digests, false));
  }

  private static Arbitrary<Outcome> outcomes() {
    return Combinators.combine(
            Arbitraries.of(Verdict.class), Arbitraries.of(Reason.class).optional(), millis())
        .as((verdict, reason, ms) -> new Outcome(verdict, reason, "text", 3, ms));
  }

  private static Arbitrary<Optional<TargetHint>> hints() {
    return text().map(id -> new TargetHint(id, 1, 2, 0.75, 12.5)).optional();
  }

  private static Arbitrary<SheetStatus> statuses() {
    return Combinators.combine(millis(), Arbitraries.longs(), millis().optional())
        .as(
            (version, digest, age) ->
                new SheetStatus(
                    new SheetDigest(version, digest),
                    age.isPresent(),
                    age.map(OptionalLong::of).orElse(OptionalLong.empty())));
  }

  private static Arbitrary<List<Header>> headers() {
    return Combinators.combine(text(), Arbitraries.strings().ofMaxLength(20))
        .as(Header::new)
        .list()
        .ofMaxSize(3);
  }

  private static Arbitrary<byte[]> bytes() {
    return Arbitraries.bytes().array(byte[].class).ofMaxSize(300);
  }

  private static Arbitrary<Long> millis() {
    return Arbitraries.longs().between(0, Long.MAX_VALUE - 1);
  }

  private static Arbitrary<String> text() {
    return Arbitraries.strings().alpha().numeric().ofMinLength(1).ofMaxLength(20);
  }

  private static void decodeOrReject(byte[] payload) {
    try {
      assertThat(PeerCodec.decode(payload)).isNotNull();
    } catch (PeerFrameException e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }
}
