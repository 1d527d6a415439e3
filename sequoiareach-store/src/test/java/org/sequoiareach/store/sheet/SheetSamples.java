package org.sequoiareach.store.sheet;

import java.util.List;
import java.util.stream.IntStream;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Builds distinct sample sheets, identified by a number. */
final class SheetSamples {

  private SheetSamples() {}

  /** Builds a sheet, some of whose organisations differ from those of the previous number. */
  static Sheet sheet(int number, int organisations) {
    ModelEntry model = new ModelEntry("contract-70b", "v" + number, 32_768, 0.5, 1.5);
    List<OrganisationEntry> entries =
        IntStream.range(0, organisations).mapToObj(i -> organisation(number, i)).toList();
    return new Sheet(0, List.of(model), List.of(), entries);
  }

  static int numberOf(Sheet sheet) {
    return Integer.parseInt(sheet.models().get(0).version().substring(1));
  }

  private static OrganisationEntry organisation(int number, int index) {
    return new OrganisationEntry(
        "organisation-" + index,
        List.of(),
        5,
        List.of("contract-70b"),
        List.of(),
        new PlanEntry(number / (index + 1), 1_000),
        new LimitsEntry(10, 10));
  }
}
