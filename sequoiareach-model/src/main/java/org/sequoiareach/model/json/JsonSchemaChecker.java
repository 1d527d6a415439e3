package org.sequoiareach.model.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Validates JSON documents against a JSON schema and reports all invalid fields at once. Immutable
 * and thread-safe.
 */
public final class JsonSchemaChecker {

  private static final int MAX_VALUE_CHARS = 80;

  private final Schema schema;

  private JsonSchemaChecker(Schema schema) {
    this.schema = schema;
  }

  /**
   * Loads a schema from the class path.
   *
   * @param owner the class whose package contains the resource
   * @param resource the name of the resource
   * @return the checker
   * @throws IllegalArgumentException if the resource does not exist
   */
  public static JsonSchemaChecker load(Class<?> owner, String resource) {
    try (InputStream in = owner.getResourceAsStream(resource)) {
      Check.isTrue(
          in != null,
          "Schema resource '" + resource + "' of " + owner.getName() + " does not exist.");
      SchemaRegistry registry =
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
      return new JsonSchemaChecker(registry.getSchema(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses and validates a document and maps it to a value.
   *
   * @param text the JSON text
   * @param type the type of the value
   * @param <T> the type of the value
   * @return the value
   * @throws InvalidDocumentException if the text is not valid JSON or violates the schema; it lists
   *     all invalid fields
   */
  public <T> T read(String text, Class<T> type) {
    JsonNode tree = parse(text);
    List<FieldError> errors = check(tree);
    if (!errors.isEmpty()) {
      throw new InvalidDocumentException(errors);
    }
    try {
      return Json.mapper().treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new InvalidDocumentException(List.of(new FieldError("", "", rootCauseMessage(e))));
    }
  }

  /**
   * Validates a document.
   *
   * @param tree the document
   * @return an error for each invalid field; empty if the document is valid
   */
  public List<FieldError> check(JsonNode tree) {
    List<FieldError> errors = new ArrayList<>();
    for (Error error : schema.validate(tree)) {
      JsonNode value = error.getInstanceNode();
      String path = error.getInstanceLocation().toString();
      errors.add(new FieldError(path, truncate(value), error.getMessage()));
    }
    return errors;
  }

  private static JsonNode parse(String text) {
    try {
      JsonNode tree = Json.mapper().readTree(text);
      if (tree == null || tree.isMissingNode()) {
        throw new InvalidDocumentException(
            List.of(new FieldError("", "", "the document is empty")));
      }
      return tree;
    } catch (JsonProcessingException e) {
      String location = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
      throw new InvalidDocumentException(
          List.of(new FieldError(location, "", "not JSON: " + e.getOriginalMessage())));
    }
  }

  private static String rootCauseMessage(Throwable thrown) {
    Throwable root = thrown;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    return root.getMessage();
  }

  private static String truncate(JsonNode value) {
    if (value == null) {
      return "";
    }
    String text = value.toString();
    return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS) + "…";
  }
}
