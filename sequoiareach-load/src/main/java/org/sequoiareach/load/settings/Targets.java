package org.sequoiareach.load.settings;

import java.util.List;

/**
 * Lists the targets whose records are compared with what the callers saw.
 *
 * @param engines base addresses of the model engines
 * @param services base addresses of the plain services
 */
public record Targets(List<String> engines, List<String> services) {

  /** No target at all. */
  public static final Targets NONE = new Targets(List.of(), List.of());

  /** Copies the parts. */
  public Targets {
    engines = engines == null ? List.of() : List.copyOf(engines);
    services = services == null ? List.of() : List.copyOf(services);
  }
}
