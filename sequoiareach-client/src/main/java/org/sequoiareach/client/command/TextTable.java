package org.sequoiareach.client.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Lays rows out in aligned columns. Not thread-safe. */
public final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Creates a table.
   *
   * @param headings the headings of its columns
   */
  public TextTable(String... headings) {
    rows.add(List.of(headings));
  }

  /**
   * Adds a row.
   *
   * @param cells one value a column
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
      line.append(" ".repeat(width(column) - row.get(column).length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
