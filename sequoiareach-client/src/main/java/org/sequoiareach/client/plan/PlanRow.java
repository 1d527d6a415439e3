package org.sequoiareach.client.plan;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A row of a plan CSV file, with the plan of one organisation for one model.
 *
 * @param line the line number in the file
 * @param cells the valid cells; invalid ones are absent
 */
record PlanRow(long line, Map<PlanColumn, String> cells) {

  PlanRow {
    cells = Map.copyOf(cells);
  }

  boolean isComplete() {
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
