package org.sequoiareach.model.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * Provides the JSON mapper shared by all modules. It ignores unknown properties, omits absent
 * values and writes map entries in the order of their keys. Thread-safe.
 */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT))
          .build();

  private Json() {}

  /**
   * Returns the shared mapper.
   *
   * @return the mapper; its configuration must not be modified
   */
  public static ObjectMapper mapper() {
    return MAPPER;
  }
}
