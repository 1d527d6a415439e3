package org.sequoiareach.model.sheet;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Holds one accepted version of the operators' sheet. Immutable.
 *
 * @param version the version, at least 1; a later sheet has a greater version
 * @param models the models on offer
 * @param services the plain services on offer
 * @param organisations the organisations and what each may use
 */
public record Sheet(
    long version,
    List<ModelEntry> models,
    List<ServiceEntry> services,
    List<OrganisationEntry> organisations) {

  /** Checks and copies the parts. */
  public Sheet {
    Check.isTrue(version >= 0, "'version' must not be negative but is " + version + ".");
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
  }

  /**
   * Finds a model by name.
   *
   * @param name the model's name
   * @return the model, or empty if the sheet has none of this name
   */
  public Optional<ModelEntry> findModel(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }

  /**
   * Finds a plain service by name.
   *
   * @param name the service's name
   * @return the service, or empty if the sheet has none of this name
   */
  public Optional<ServiceEntry> findService(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /**
   * Finds an organisation by identity.
   *
   * @param id the organisation's identity
   * @return the organisation, or empty if the sheet has none of this identity
   */
  public Optional<OrganisationEntry> findOrganisation(String id) {
    return organisations.stream().filter(organisation -> organisation.id().equals(id)).findFirst();
  }

  /**
   * Copies this sheet under another version.
   *
   * @param newVersion the version of the copy
   * @return the copy
   */
  public Sheet withVersion(long newVersion) {
    return new Sheet(newVersion, models, services, organisations);
  }
}
