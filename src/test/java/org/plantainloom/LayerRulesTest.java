package org.plantainloom;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.testng.annotations.Test;

/**
 * Checks that each layer depends only on the layers below it (from top to bottom: program,
 * platform, transport, protocol, coordination, state), and that the coordination and state layers
 * use no I/O, threads or wall clock.
 */
public class LayerRulesTest {
  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.plantainloom");

  @Test
  public void should_depend_only_on_lower_layers() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("program")
        .definedBy("org.plantainloom.program..")
        .layer("platform")
        .definedBy("org.plantainloom.platform..")
        .layer("transport")
        .definedBy("org.plantainloom.transport..")
        .layer("protocol")
        .definedBy("org.plantainloom.protocol..")
        .layer("coordination")
        .definedBy("org.plantainloom.coordination..")
        .layer("state")
        .definedBy("org.plantainloom.state..")
        .whereLayer("program")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("platform")
        .mayOnlyBeAccessedByLayers("program")
        .whereLayer("transport")
        .mayOnlyBeAccessedByLayers("program", "platform")
        .whereLayer("protocol")
        .mayOnlyBeAccessedByLayers("program", "platform", "transport")
        .whereLayer("coordination")
        .mayOnlyBeAccessedByLayers("program", "platform", "transport", "protocol")
        .check(MAIN_CLASSES);
  }

  @Test
  public void should_keep_io_threads_and_wall_clock_out_of_decisions() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAnyPackage("org.plantainloom.coordination..", "org.plantainloom.state..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "com.linecorp.armeria..",
            "java.net..",
            "java.nio.file..",
            "java.nio.channels..",
            "java.io..",
            "com.fasterxml..")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(MAIN_CLASSES);
  }
}
