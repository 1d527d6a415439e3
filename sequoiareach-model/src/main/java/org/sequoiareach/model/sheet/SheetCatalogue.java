package org.sequoiareach.model.sheet;

import java.util.List;

/**
 * Section of a sheet that is common to all organisations: its models and services.
 *
 * @param models the available models
 * @param services the available plain services
 */
public record SheetCatalogue(List<ModelEntry> models, List<ServiceEntry> services) {

  /** Copies the lists. */
  public SheetCatalogue {
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
  }

  /**
   * Extracts the catalogue of a sheet.
   *
   * @param sheet the sheet
   * @return the catalogue
   */
  public static SheetCatalogue of(Sheet sheet) {
    return new SheetCatalogue(sheet.models(), sheet.services());
  }
}
