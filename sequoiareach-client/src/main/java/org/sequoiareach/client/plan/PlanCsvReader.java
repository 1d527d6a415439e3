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

/** Reads a plan CSV file and reports all invalid cells. An instance reads a single file. */
final class PlanCsvReader {

  /** Limits the error list of a file that is invalid throughout. */
  private static final int MAX_ERRORS = 1_000;

  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private final List<FieldError> errors = new ArrayList<>();
  private final List<PlanRow> rows = new ArrayList<>();

  /**
   * Reads a file.
   *
   * @param text the CSV text
   * @return the rows
   * @throws InvalidDocumentException if any cell is invalid
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
      List<String> header = List.of();
      for (CSVRecord record : parser) {
        if (header.isEmpty()) {
          header = checkHeader(record);
        } else if (errors.size() < MAX_ERRORS) {
          readRow(parser.getCurrentLineNumber(), header, record);
        }
      }
      if (rows.isEmpty() && errors.isEmpty()) {
        errors.add(new FieldError("", "", "the file contains no organisations"));
      }
    } catch (IOException | UncheckedIOException | IllegalStateException e) {
      errors.add(new FieldError("", "", "not CSV: " + e.getMessage()));
    }
  }

  private List<String> checkHeader(CSVRecord record) {
    List<String> header = record.toList();
    for (String label : PlanColumn.labels()) {
      if (!header.contains(label)) {
        errors.add(new FieldError("line 1", "", "the column '" + label + "' is missing"));
      }
    }
    for (String label : header) {
      boolean duplicate = header.indexOf(label) != header.lastIndexOf(label);
      if (!PlanColumn.labels().contains(label) || duplicate) {
        errors.add(new FieldError("line 1", label, "unknown or duplicate column"));
      }
    }
    return header;
  }

  private void readRow(long line, List<String> header, CSVRecord record) {
    if (record.size() > header.size()) {
      String cells = record.size() + " cells";
      errors.add(new FieldError("line " + line, cells, "expected " + header.size() + " cells"));
    }
    Map<PlanColumn, String> cells = new EnumMap<>(PlanColumn.class);
    for (PlanColumn column : PlanColumn.values()) {
      int index = header.indexOf(column.label());
      if (index < 0) {
        continue;
      }
      String cell = index < record.size() ? record.get(index) : "";
      if (column.accepts(cell)) {
        cells.put(column, cell);
      } else {
        errors.add(error(line, column, truncate(cell), "expected " + column.expected()));
      }
    }
    rows.add(new PlanRow(line, cells));
  }

  private static String truncate(String cell) {
    int shown = 80;
    return cell.length() <= shown ? "'" + cell + "'" : "'" + cell.substring(0, shown) + "…'";
  }
}
