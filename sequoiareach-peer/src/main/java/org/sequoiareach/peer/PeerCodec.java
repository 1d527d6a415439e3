package org.sequoiareach.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.TargetHint;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.StoreHoldings;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.StoreReading;
import org.sequoiareach.model.route.TargetDelta;
import org.sequoiareach.model.route.TargetUpdate;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.WaitingDemand;
import org.sequoiareach.model.route.ZoneMaintenance;
import org.sequoiareach.model.sheet.SheetDigest;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** Encodes and decodes messages and handshakes as MessagePack. Thread-safe. */
final class PeerCodec {

  /** Types of the model that are encoded as arrays of their components instead of maps. */
  private static final List<Class<?>> ARRAY_ENCODED_TYPES =
      List.of(
          LimitMessage.KnownLimit.class,
          QuarantineMessage.KnownCrash.class,
          QuarantineMessage.KnownQuarantine.class,
          MemberUpdate.class,
          TargetHint.class,
          Outcome.class,
          RequestSpec.class,
          SheetDigest.class,
          SheetStatus.class,
          SheetManifest.class,
          EngineSpeed.class,
          FleetState.class,
          WaitingDemand.class,
          WaitingDemand.Total.class,
          ZoneMaintenance.class,
          StoreHoldings.class,
          StoreNews.class,
          StoreReading.class,
          TargetDelta.class,
          TargetUpdate.class,
          TargetUse.class);

  private static final ObjectMapper MAPPER = createMapper();

  private PeerCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the payload of a frame
   */
  static byte[] encode(PeerMessage message) {
    return write(message);
  }

  /**
   * Encodes a handshake.
   *
   * @param handshake the handshake
   * @return the payload of a frame
   */
  static byte[] encode(Handshake handshake) {
    return write(handshake);
  }

  /**
   * Decodes a message.
   *
   * @param payload the payload of a frame
   * @return the message
   * @throws PeerFrameException if the payload is not exactly one valid message
   */
  static PeerMessage decode(byte[] payload) throws PeerFrameException {
    return read(payload, PeerMessage.class);
  }

  /**
   * Decodes a handshake.
   *
   * @param payload the payload of a frame
   * @return the handshake
   * @throws PeerFrameException if the payload is not exactly one valid handshake
   */
  static Handshake decodeHandshake(byte[] payload) throws PeerFrameException {
    return read(payload, Handshake.class);
  }

  private static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "Cannot encode a " + value.getClass().getSimpleName() + ".", e);
    }
  }

  private static <T> T read(byte[] payload, Class<T> type) throws PeerFrameException {
    T value;
    try {
      requireSingleValue(payload);
      value = MAPPER.readValue(payload, type);
    } catch (IOException | RuntimeException e) {
      // The MessagePack parser throws unchecked exceptions for some malformed input.
      throw new PeerFrameException(
          "Cannot decode a frame of " + payload.length + " bytes: " + e.getMessage(), e);
    }
    if (value == null) {
      throw new PeerFrameException("The frame contains null instead of a message.", null);
    }
    return value;
  }

  /**
   * Requires exactly one value whose declared lengths fit the payload. The mapper allocates buffers
   * of the declared length without checking it, so this runs before the mapper.
   */
  private static void requireSingleValue(byte[] payload) throws IOException, PeerFrameException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new PeerFrameException("The frame contains more than one MessagePack value.", null);
      }
    }
  }

  private static ObjectMapper createMapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    for (Class<?> type : ARRAY_ENCODED_TYPES) {
      mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }
    mapper
        .configOverride(MemberState.class)
        .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.NUMBER));
    return mapper;
  }
}
