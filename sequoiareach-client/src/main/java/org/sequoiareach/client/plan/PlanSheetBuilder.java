package org.sequoiareach.client.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sequoiareach.model.json.FieldError;
import org.sequoiareach.model.json.InvalidDocumentException;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Builds a sheet from the rows of a plan. Prices and services come from a catalogue, because plans
 * do not contain them. An instance builds a single sheet.
 */
final class PlanSheetBuilder {

  /** Columns that must have the same value in all rows of an organisation. */
  private static final List<PlanColumn> ORGANISATION_COLUMNS =
      List.of(
          PlanColumn.KEY_DIGEST,
          PlanColumn.PRIORITY,
          PlanColumn.CONCURRENT_REQUESTS,
          PlanColumn.REQUESTS_PER_SECOND,
          PlanColumn.SERVICES);

  /** Columns that must have the same value in all rows of a model. */
  private static final List<PlanColumn> MODEL_COLUMNS =
      List.of(PlanColumn.MODEL_VERSION, PlanColumn.CONTEXT_TOKENS);

  private final Sheet catalogue;
  private final Map<String, PlanRow> modelRows = new LinkedHashMap<>();
  private final Map<String, List<PlanRow>> organisationRows = new LinkedHashMap<>();
  private final List<FieldError> errors = new ArrayList<>();

  private PlanSheetBuilder(Sheet catalogue) {
    this.catalogue = catalogue;
  }

  /**
   * Builds a sheet.
   *
   * @param rows the rows, without invalid cells
   * @param catalogue the sheet that provides prices, services and the version
   * @return the sheet
   * @throws InvalidDocumentException if rows contradict each other or refer to undefined services
   */
  static Sheet build(List<PlanRow> rows, Sheet catalogue) {
    PlanSheetBuilder builder = new PlanSheetBuilder(catalogue);
    rows.forEach(builder::add);
    if (!builder.errors.isEmpty()) {
      throw new InvalidDocumentException(builder.errors);
    }
    return builder.toSheet();
  }

  private void add(PlanRow row) {
    String model = row.text(PlanColumn.MODEL);
    requireSameValues(modelRows.putIfAbsent(model, row), row, MODEL_COLUMNS);
    List<PlanRow> earlier =
        organisationRows.computeIfAbsent(
            row.text(PlanColumn.ORGANISATION), name -> new ArrayList<>());
    requireSameValues(earlier.isEmpty() ? null : earlier.get(0), row, ORGANISATION_COLUMNS);
    if (earlier.stream().anyMatch(other -> other.text(PlanColumn.MODEL).equals(model))) {
      String expected = "expected one line per organisation and model";
      errors.add(PlanCsvReader.error(row.line(), PlanColumn.MODEL, model, expected));
    }
    for (String service : row.names(PlanColumn.SERVICES)) {
      if (catalogue.findService(service).isEmpty()) {
        String expected = "undefined service; pass a sheet that defines it with --catalogue";
        errors.add(PlanCsvReader.error(row.line(), PlanColumn.SERVICES, service, expected));
      }
    }
    earlier.add(row);
  }

  private void requireSameValues(PlanRow first, PlanRow row, List<PlanColumn> columns) {
    if (first == null) {
      return;
    }
    for (PlanColumn column : columns) {
      if (!Objects.equals(first.text(column), row.text(column))) {
        String expected = "expected '" + first.text(column) + "' as in line " + first.line();
        errors.add(PlanCsvReader.error(row.line(), column, row.text(column), expected));
      }
    }
  }

  private Sheet toSheet() {
    List<ModelEntry> models =
        modelRows.entrySet().stream()
            .map(entry -> toModel(entry.getKey(), entry.getValue()))
            .toList();
    List<OrganisationEntry> organisations =
        organisationRows.entrySet().stream()
            .map(entry -> toOrganisation(entry.getKey(), entry.getValue()))
            .toList();
    return new Sheet(catalogue.version(), models, catalogue.services(), organisations);
  }

  private ModelEntry toModel(String name, PlanRow row) {
    Optional<ModelEntry> priced = catalogue.findModel(name);
    return new ModelEntry(
        name,
        row.text(PlanColumn.MODEL_VERSION),
        (int) row.number(PlanColumn.CONTEXT_TOKENS),
        priced.map(ModelEntry::promptPricePerMillion).orElse(0.0),
        priced.map(ModelEntry::completionPricePerMillion).orElse(0.0));
  }

  private static OrganisationEntry toOrganisation(String id, List<PlanRow> rows) {
    PlanRow first = rows.get(0);
    return new OrganisationEntry(
        id,
        List.of(first.text(PlanColumn.KEY_DIGEST)),
        (int) first.number(PlanColumn.PRIORITY),
        rows.stream().map(row -> row.text(PlanColumn.MODEL)).toList(),
        first.names(PlanColumn.SERVICES),
        new PlanEntry(
            sum(rows, PlanColumn.PROMPT_TOKENS_PER_DAY),
            sum(rows, PlanColumn.COMPLETION_TOKENS_PER_DAY)),
        new LimitsEntry(
            (int) first.number(PlanColumn.CONCURRENT_REQUESTS),
            (int) first.number(PlanColumn.REQUESTS_PER_SECOND)));
  }

  private static long sum(List<PlanRow> rows, PlanColumn column) {
    return rows.stream().mapToLong(row -> row.number(column)).sum();
  }
}
