package org.oakwalk;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Allowed dependencies between packages. */
@AnalyzeClasses(packages = "org.oakwalk", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  static final ArchRule CORE_IS_SELF_CONTAINED =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.oakwalk.wire..",
              "org.oakwalk.adapter..",
              "org.oakwalk.daemon..",
              "org.oakwalk.cli..",
              "org.eclipse.jetty..",
              "com.fasterxml..",
              "org.msgpack..",
              "java.io..",
              "java.net..",
              "java.nio..",
              "java.util.concurrent..");

  @ArchTest
  static final ArchRule CORE_READS_NO_CLOCK_OR_RANDOMNESS =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.core..")
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.Random")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.time.Clock")
          .orShould()
          .callMethodWhere(
              describe(
                  "reads a clock",
                  call ->
                      call.getTargetOwner().getPackageName().startsWith("java.time")
                          && call.getName().equals("now")))
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("org.apache.commons.rng..");

  @ArchTest
  static final ArchRule WIRE_DEPENDS_ONLY_ON_CORE =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.wire..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.oakwalk.adapter..",
              "org.oakwalk.daemon..",
              "org.oakwalk.cli..",
              "org.eclipse.jetty..");

  @ArchTest
  static final ArchRule ADAPTERS_DO_NOT_DEPEND_ON_DAEMON =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.adapter..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.oakwalk.daemon..", "org.oakwalk.cli..", "com.fasterxml..");

  /** The simulator is used by experiments only; a serving node never loads it. */
  @ArchTest
  static final ArchRule NODE_DOES_NOT_DEPEND_ON_MODEL =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.oakwalk.core..",
              "org.oakwalk.wire..",
              "org.oakwalk.adapter..",
              "org.oakwalk.daemon..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.oakwalk.model..");

  @ArchTest
  static final ArchRule MODEL_DEPENDS_ONLY_ON_CORE =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.model..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.oakwalk.wire..",
              "org.oakwalk.adapter..",
              "org.oakwalk.daemon..",
              "org.oakwalk.cli..");

  @ArchTest
  static final ArchRule PORT_MESSAGES_DEPEND_ON_NO_COMPONENT =
      noClasses()
          .that()
          .resideInAPackage("org.oakwalk.core.port..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.oakwalk.core.leadership..",
              "org.oakwalk.core.placement..",
              "org.oakwalk.core.capacity..",
              "org.oakwalk.core.recovery..");
}
