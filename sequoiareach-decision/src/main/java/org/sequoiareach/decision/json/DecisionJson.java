package org.sequoiareach.decision.json;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PeerEvent;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.decision.sheet.SheetEvent;
import org.sequoiareach.model.json.Json;

/**
 * Converts events from and to JSON, and effects to JSON, as one object per line.
 *
 * <p>The property {@code event} of an event and the property {@code effect} of an effect hold the
 * simple name of its type. Thread-safe.
 */
public final class DecisionJson {

  private static final List<Class<?>> SUBTYPE_GROUPS =
      List.of(
          RequestEvent.class,
          PlatformEvent.class,
          PeerEvent.class,
          TimeEvent.class,
          BudgetEvent.class,
          MembershipEvent.class,
          SheetEvent.class,
          DispatchEvent.class,
          Effect.class,
          MembershipEffect.class,
          SheetEffect.class,
          DispatchEffect.class);

  private static final ObjectMapper MAPPER = createMapper();

  private DecisionJson() {}

  /**
   * Reads an event.
   *
   * @param line a line of JSON
   * @return the event
   * @throws IllegalArgumentException if the line is not a valid event
   */
  public static Event readEvent(String line) {
    try {
      return MAPPER.readValue(line, Event.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("Invalid event: " + e.getOriginalMessage(), e);
    }
  }

  /**
   * Writes an event.
   *
   * @param event the event
   * @return one line of JSON
   */
  public static String write(Event event) {
    return write(event, Event.class);
  }

  /**
   * Writes an effect.
   *
   * @param effect the effect
   * @return one line of JSON
   */
  public static String write(Effect effect) {
    return write(effect, Effect.class);
  }

  private static String write(Object value, Class<?> type) {
    try {
      return MAPPER.writerFor(type).writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "Cannot write " + value.getClass().getName() + " as JSON: " + e.getOriginalMessage(), e);
    }
  }

  private static ObjectMapper createMapper() {
    ObjectMapper mapper = Json.mapper().copy();
    for (Class<?> group : SUBTYPE_GROUPS) {
      for (JsonSubTypes.Type type : group.getAnnotation(JsonSubTypes.class).value()) {
        mapper.registerSubtypes(type.value());
      }
    }
    return mapper;
  }
}
