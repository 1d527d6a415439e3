package org.sequoiareach.daemon;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Verifies the direction of dependencies between modules and that packages have no cycles. */
class DaemonArchitectureTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(
              "org.sequoiareach.model",
              "org.sequoiareach.decision",
              "org.sequoiareach.peer",
              "org.sequoiareach.store",
              "org.sequoiareach.daemon");

  @Test
  void modulesDependInOneDirection() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("model")
        .definedBy("org.sequoiareach.model..")
        .layer("decision")
        .definedBy("org.sequoiareach.decision..")
        .layer("peer")
        .definedBy("org.sequoiareach.peer..")
        .layer("store")
        .definedBy("org.sequoiareach.store..")
        .layer("daemon")
        .definedBy("org.sequoiareach.daemon..")
        .whereLayer("daemon")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("decision")
        .mayOnlyBeAccessedByLayers("daemon")
        .whereLayer("peer")
        .mayOnlyBeAccessedByLayers("daemon")
        .whereLayer("store")
        .mayOnlyBeAccessedByLayers("daemon")
        .check(CLASSES);
  }

  @Test
  void hasNoCyclesBetweenPackages() {
    slices().matching("org.sequoiareach.daemon.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
