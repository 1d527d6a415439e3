package org.sequoiareach.client.plan;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.sequoiareach.model.json.FieldError;
import org.sequoiareach.model.json.InvalidDocumentException;

/** Reads the planners' file line by line and names every wrong cell. Used once. */
final class PlanCsvReader {

  /** Errors named at once; a file that is wrong throughout needs no more. */
  private static final int MAX_ERRORS = 1_000;

  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private final List<FieldError> errors = new ArrayList<>();
  private final List<PlanRow> rows = new ArrayList<>();

  /**
   * Reads a file.
   *
   * @param text the CSV text
   * @return its lines
   * @throws InvalidDocumentException if any cell is wrong
   */
  static List<PlanRow> read(String text) {
    PlanCsvReader reader = new PlanCsvReader();
    reader.readAll(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text);
    if (!reader.errors.isEmpty()) {
      throw new InvalidDocumentException(reader.errors);
    }
    return reader.rows;
  }

  static FieldError error(long line, PlanColumn column, String value, String expected) {
    return new FieldError("line " + line + ", column " + column.label(), value, expected);
  }

  private void readAll(String text) {
    CSVFormat format = CSVFormat.RFC4180.builder().setIgnoreEmptyLines(true).setTrim(true).get();
    try (CSVParser parser = CSVParser.parse(new StringReader(text), format)) {
      List<String> heading = List.of();
      for (CSVRecord record : parser) {
        if (heading.isEmpty()) {
          heading = checkHeading(record);
        } else if (errors.size() < MAX_ERRORS) {
          readLine(parser.getCurrentLineNumber(), heading, record);
        }
      }
      if (rows.isEmpty() && errors.isEmpty()) {
        errors.add(new FieldError("", "", "the file holds no organisation"));
      }
    } catch (IOException | UncheckedIOException | IllegalStateException e) {
      errors.add(new FieldError("", "", "not CSV: " + e.getMessage()));
    }
  }

  private List<String> checkHeading(CSVRecord record) {
    List<String> heading = record.toList();
    for (String label : PlanColumn.labels()) {
      if (!heading.contains(label)) {
        errors.add(new FieldError("line 1", "", "the column '" + label + "' is missing"));
      }
    }
    for (String label : heading) {
      boolean twice = heading.indexOf(label) != heading.lastIndexOf(label);
      if (!PlanColumn.labels().contains(label) || twice) {
        errors.add(new FieldError("line 1", label, "is not a column, or is named twice"));
      }
    }
    return heading;
  }

  private void readLine(long line, List<String> heading, CSVRecord record) {
    if (record.size() > heading.size()) {
      String cells = record.size() + " cells";
      errors.add(new FieldError("line " + line, cells, "expected " + heading.size()));
    }
    Map<PlanColumn, String> cells = new EnumMap<>(PlanColumn.class);
    for (PlanColumn column : PlanColumn.values()) {
      int index = heading.indexOf(column.label());
      if (index < 0) {
        continue;
      }
      String cell = index < record.size() ? record.get(index) : "";
      if (column.accepts(cell)) {
        cells.put(column, cell);
      } else {
        errors.add(error(line, column, shorten(cell), "expected " + column.expected()));
      }
    }
    rows.add(new PlanRow(line, cells));
  }

  private static String shorten(String cell) {
    int shown = 80;
    return cell.length() <= shown ? "'" + cell + "'" : "'" + cell.substring(0, shown) + "…'";
  }
}
