package org.crocusgrade.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks that core depends neither on I/O libraries nor on the modules built upon it, and that its
 * ids do not depend on the packages that use them.
 */
class LayersTest {
    private static final ArchRule NO_IO_LIBRARIES =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.vertx..", "io.netty..", "com.google.protobuf..");

    private static final ArchRule NO_HIGHER_MODULES =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.daemon..",
                            "org.crocusgrade.peer..",
                            "org.crocusgrade.standin..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    private static final ArchRule IDS_INDEPENDENT_OF_USERS =
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

    @TestFactory
    Stream<DynamicTest> rules() {
        JavaClasses classes =
                new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("org.crocusgrade.core");
        return Stream.of(NO_IO_LIBRARIES, NO_HIGHER_MODULES, IDS_INDEPENDENT_OF_USERS)
                .map(r -> DynamicTest.dynamicTest(r.getDescription(), () -> r.check(classes)));
    }
}
