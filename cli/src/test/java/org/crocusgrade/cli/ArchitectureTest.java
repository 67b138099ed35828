package org.crocusgrade.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Holds the direction of the modules, and what binds the processes that serve. */
class ArchitectureTest {
    private static final String[] SERVING = {
        "org.crocusgrade.core..", "org.crocusgrade.peer..", "org.crocusgrade.daemon.."
    };

    private static final ArchRule THE_LINK_KNOWS_ONLY_CORE =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.peer..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.daemon..",
                            "org.crocusgrade.standin..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    private static final ArchRule THE_DAEMON_KNOWS_NO_TOOLS =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.daemon..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.standin..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    private static final ArchRule STAND_INS_KNOW_NO_DAEMON =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.standin..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.daemon..",
                            "org.crocusgrade.peer..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    private static final ArchRule NO_CLUSTERING_DISCOVERY_OR_PROXYING_OF_LIBRARIES =
            noClasses()
                    .that()
                    .resideInAnyPackage(SERVING)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.vertx.core.spi.cluster..",
                            "io.vertx.core.shareddata..",
                            "io.vertx.core.eventbus..",
                            "io.vertx.httpproxy..",
                            "io.vertx.ext.web.proxy..",
                            "io.vertx.servicediscovery..");

    private static final ArchRule A_DAEMON_STARTS_NO_PROCESS =
            noClasses()
                    .that()
                    .resideInAnyPackage(SERVING)
                    .should()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.ProcessBuilder")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Process");

    private static final ArchRule DECISIONS_READ_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.core..")
                    .and()
                    .haveSimpleNameNotStartingWith("SystemClock")
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(java.time.Instant.class, "now");

    @TestFactory
    Stream<DynamicTest> rules() {
        JavaClasses classes =
                new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("org.crocusgrade");
        return Stream.of(
                        THE_LINK_KNOWS_ONLY_CORE,
                        THE_DAEMON_KNOWS_NO_TOOLS,
                        STAND_INS_KNOW_NO_DAEMON,
                        NO_CLUSTERING_DISCOVERY_OR_PROXYING_OF_LIBRARIES,
                        A_DAEMON_STARTS_NO_PROCESS,
                        DECISIONS_READ_NO_CLOCK)
                .map(r -> DynamicTest.dynamicTest(r.getDescription(), () -> r.check(classes)));
    }
}
