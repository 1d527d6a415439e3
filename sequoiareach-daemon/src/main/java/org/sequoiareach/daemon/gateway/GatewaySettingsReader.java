package org.sequoiareach.daemon.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.daemon.front.ClientLimits;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;

/**
 * Reads {@link GatewaySettings} from JSON. Reads the fields one by one, because binding to a record
 * by reflection takes a noticeable part of the start.
 */
public final class GatewaySettingsReader {

  private GatewaySettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the JSON file
   * @return the settings
   * @throws IOException if the file cannot be read
   * @throws IllegalArgumentException if the JSON is malformed or a field is invalid; the message
   *     names the field and its value
   */
  public static GatewaySettings read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Parses settings.
   *
   * @param text the JSON text
   * @return the settings
   * @throws IllegalArgumentException if the JSON is malformed or a field is invalid; the message
   *     names the field and its value
   */
  public static GatewaySettings parse(String text) {
    JsonNode tree;
    try {
      tree = Json.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "The settings are not valid JSON: " + e.getOriginalMessage(), e);
    }
    Check.isTrue(tree.isObject(), "The settings must be a JSON object but are " + tree + ".");
    return new GatewaySettings(
        readText(tree, "name"),
        readText(tree, "zone"),
        readText(tree, "callerAddress"),
        readText(tree, "readyAddress"),
        readText(tree, "peerAddress"),
        readText(tree, "metricsAddress"),
        readTexts(tree, "seedAddresses"),
        readText(tree, "storeAddress"),
        readNumber(tree, "gracePeriodSeconds"),
        readNumber(tree, "retryRatio"),
        readNumber(tree, "retryWindowSeconds"),
        readNumber(tree, "retryExtra"),
        readNumber(tree, "sheetBoundMs"),
        readNumber(tree, "leavingBoundMs"),
        readNumber(tree, "hedgeRatio"),
        readClientLimits(tree),
        readFlag(tree, "lateBinding"));
  }

  /** Returns the value of a flag, or false if the field is absent. */
  private static boolean readFlag(JsonNode tree, String name) {
    JsonNode value = tree.path(name);
    Check.isTrue(
        value.isBoolean() || value.isMissingNode(),
        "'" + name + "' must be true or false but is " + value + ".");
    return value.asBoolean(false);
  }

  private static ClientLimits readClientLimits(JsonNode tree) {
    ClientLimits defaults = ClientLimits.DEFAULT;
    return new ClientLimits(
        readCount(tree, "maxCallerConnections", defaults.maxCallerConnections()),
        readCount(tree, "maxStatusConnections", defaults.maxStatusConnections()),
        readCount(tree, "maxHeaderLines", defaults.maxHeaderLines()));
  }

  /** Returns the integer of a field, or a default if the field is absent. */
  private static int readCount(JsonNode tree, String name, int defaultValue) {
    JsonNode value = tree.path(name);
    Check.isTrue(
        value.canConvertToInt() && value.isIntegralNumber() || value.isMissingNode(),
        "'" + name + "' must be an integer but is " + value + ".");
    return value.asInt(defaultValue);
  }

  /** Returns the text of a field, or an empty text if the field is absent. */
  private static String readText(JsonNode tree, String name) {
    JsonNode value = tree.path(name);
    Check.isTrue(
        value.isTextual() || value.isMissingNode(),
        "'" + name + "' must be a text but is " + value + ".");
    return value.asText();
  }

  private static List<String> readTexts(JsonNode tree, String name) {
    JsonNode list = tree.path(name);
    Check.isTrue(
        list.isArray() || list.isMissingNode(),
        "'" + name + "' must be a list of texts but is " + list + ".");
    List<String> texts = new ArrayList<>();
    for (JsonNode value : list) {
      Check.isTrue(
          value.isTextual(), "'" + name + "' must be a list of texts but is " + list + ".");
      texts.add(value.asText());
    }
    return texts;
  }

  /** Returns the number of a field, or 0 if the field is absent. */
  private static double readNumber(JsonNode tree, String name) {
    JsonNode value = tree.path(name);
    Check.isTrue(
        value.isNumber() || value.isMissingNode(),
        "'" + name + "' must be a number but is " + value + ".");
    return value.asDouble();
  }
}
