package org.sequoiareach.client.plan;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Holds the cells of one line, which concerns one organisation and model.
 *
 * @param line the number of the line in the file
 * @param cells the right cells; wrong ones are absent
 */
record PlanRow(long line, Map<PlanColumn, String> cells) {

  PlanRow {
    cells = Map.copyOf(cells);
  }

  boolean isWhole() {
    return cells.size() == PlanColumn.values().length;
  }

  String text(PlanColumn column) {
    return cells.get(column);
  }

  long number(PlanColumn column) {
    return Long.parseLong(cells.get(column));
  }

  List<String> names(PlanColumn column) {
    return Arrays.stream(cells.get(column).split(";")).filter(name -> !name.isEmpty()).toList();
  }
}
