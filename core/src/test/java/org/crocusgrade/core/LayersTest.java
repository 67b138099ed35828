package org.crocusgrade.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Holds the direction of the dependencies of core. */
@AnalyzeClasses(
        packages = "org.crocusgrade.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
    @ArchTest
    static final ArchRule NO_IO_LIBRARIES =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.vertx..", "io.netty..", "com.google.protobuf..");

    @ArchTest
    static final ArchRule NOTHING_ABOVE =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.daemon..",
                            "org.crocusgrade.peer..",
                            "org.crocusgrade.standin..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    @ArchTest
    static final ArchRule IDS_DEPEND_ON_NOTHING =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.core.id..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.core.port..",
                            "org.crocusgrade.core.config..",
                            "org.crocusgrade.core.fleet..",
                            "org.crocusgrade.core.dispatch..");
}
