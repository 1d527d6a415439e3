package org.sequoiareach.model.sheet;

import java.util.List;

/**
 * Holds the section of a sheet that belongs to no organisation.
 *
 * @param models the models on offer
 * @param services the plain services on offer
 */
public record SheetCatalogue(List<ModelEntry> models, List<ServiceEntry> services) {

  /** Copies the parts. */
  public SheetCatalogue {
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
  }

  /**
   * Takes the catalogue out of a sheet.
   *
   * @param sheet the sheet
   * @return its catalogue
   */
  public static SheetCatalogue of(Sheet sheet) {
    return new SheetCatalogue(sheet.models(), sheet.services());
  }
}
