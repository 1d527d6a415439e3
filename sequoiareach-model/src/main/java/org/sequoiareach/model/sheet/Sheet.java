package org.sequoiareach.model.sheet;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * One version of the operators' configuration: models, services and organisations. Immutable.
 *
 * @param version the version; at least 1 for an accepted sheet, and greater than that of the sheet
 *     before
 * @param models the available models
 * @param services the available plain services
 * @param organisations the organisations with their access rights and limits
 */
public record Sheet(
    long version,
    List<ModelEntry> models,
    List<ServiceEntry> services,
    List<OrganisationEntry> organisations) {

  /** Validates the components and copies the lists. */
  public Sheet {
    Check.isTrue(version >= 0, "'version' must not be negative but is " + version + ".");
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
  }

  /**
   * Finds a model by name.
   *
   * @param name the name of the model
   * @return the model, or empty if the sheet does not define it
   */
  public Optional<ModelEntry> findModel(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }

  /**
   * Finds a plain service by name.
   *
   * @param name the name of the service
   * @return the service, or empty if the sheet does not define it
   */
  public Optional<ServiceEntry> findService(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /**
   * Finds an organisation by identity.
   *
   * @param id the identity of the organisation
   * @return the organisation, or empty if the sheet does not define it
   */
  public Optional<OrganisationEntry> findOrganisation(String id) {
    return organisations.stream().filter(organisation -> organisation.id().equals(id)).findFirst();
  }

  /**
   * Copies this sheet with another version.
   *
   * @param newVersion the version of the copy
   * @return the copy
   */
  public Sheet withVersion(long newVersion) {
    return new Sheet(newVersion, models, services, organisations);
  }
}
