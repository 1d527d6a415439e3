package org.sequoiareach.client.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** A plain-text table with left-aligned columns. Not thread-safe. */
public final class TextTable {

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Creates a table.
   *
   * @param headings the column headings
   */
  public TextTable(String... headings) {
    rows.add(List.of(headings));
  }

  /**
   * Adds a row.
   *
   * @param cells one value per column
   */
  public void add(Object... cells) {
    rows.add(Arrays.stream(cells).map(String::valueOf).toList());
  }

  @Override
  public String toString() {
    return rows.stream().map(this::line).collect(Collectors.joining("\n"));
  }

  private String line(List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      line.append(row.get(column));
      line.append(" ".repeat(width(column) - row.get(column).length())).append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
