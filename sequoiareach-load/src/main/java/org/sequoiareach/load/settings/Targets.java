package org.sequoiareach.load.settings;

import java.util.List;

/**
 * The targets whose records are checked against the results that clients observed.
 *
 * @param engines base addresses of model engines
 * @param services base addresses of plain services
 */
public record Targets(List<String> engines, List<String> services) {

  /** No targets: records are not checked. */
  public static final Targets NONE = new Targets(List.of(), List.of());

  /** Copies the components; null stands for none. */
  public Targets {
    engines = engines == null ? List.of() : List.copyOf(engines);
    services = services == null ? List.of() : List.copyOf(services);
  }
}
