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
 * Checks JSON documents against one published schema and reports every wrong field at once.
 * Immutable and thread-safe.
 */
public final class JsonSchemaChecker {

  private static final int SHOWN_VALUE_CHARS = 80;

  private final Schema schema;

  private JsonSchemaChecker(Schema schema) {
    this.schema = schema;
  }

  /**
   * Loads a schema from the class path.
   *
   * @param owner the class whose package holds the schema
   * @param resource the name of the resource
   * @return the checker
   * @throws IllegalArgumentException if there is no such resource
   */
  public static JsonSchemaChecker load(Class<?> owner, String resource) {
    try (InputStream in = owner.getResourceAsStream(resource)) {
      Check.isTrue(in != null, "There is no schema resource '" + resource + "'.");
      SchemaRegistry registry =
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
      return new JsonSchemaChecker(registry.getSchema(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Checks a document and reads it as a value.
   *
   * @param text the JSON text
   * @param type the type of the value
   * @param <T> the type of the value
   * @return the value
   * @throws InvalidDocumentException if the text is not JSON or breaks the schema; it names every
   *     wrong field
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
      throw new InvalidDocumentException(List.of(new FieldError("", "", rootMessage(e))));
    }
  }

  /**
   * Checks a document.
   *
   * @param tree the document
   * @return an error for each wrong field; empty if the document keeps the schema
   */
  public List<FieldError> check(JsonNode tree) {
    List<FieldError> found = new ArrayList<>();
    for (Error error : schema.validate(tree)) {
      JsonNode value = error.getInstanceNode();
      String path = error.getInstanceLocation().toString();
      found.add(new FieldError(path, shorten(value), error.getMessage()));
    }
    return found;
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
      String where = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
      throw new InvalidDocumentException(
          List.of(new FieldError(where, "", "not JSON: " + e.getOriginalMessage())));
    }
  }

  private static String rootMessage(Throwable thrown) {
    Throwable root = thrown;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    return root.getMessage();
  }

  private static String shorten(JsonNode value) {
    if (value == null) {
      return "";
    }
    String text = value.toString();
    return text.length() <= SHOWN_VALUE_CHARS ? text : text.substring(0, SHOWN_VALUE_CHARS) + "…";
  }
}
