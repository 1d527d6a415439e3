package org.sequoiareach.decision;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the decision module performs no I/O or logging, accesses no clocks or threads, and
 * has no cycles between its packages.
 */
class DecisionArchitectureTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.sequoiareach.decision");

  @Test
  void dependsOnNoIoOrInfrastructure() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.file..",
            "java.util.concurrent..",
            "org.apache.logging..",
            "org.slf4j..",
            "reactor..",
            "io.netty..",
            "org.sequoiareach.peer..",
            "org.sequoiareach.store..",
            "org.sequoiareach.daemon..")
        .check(CLASSES);
  }

  @Test
  void accessesNoClocksOrThreads() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(CLASSES);
  }

  @Test
  void hasNoCyclesBetweenPackages() {
    slices().matching("org.sequoiareach.decision.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
