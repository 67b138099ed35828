package org.crocusgrade.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the dependencies between modules, and the restrictions on code that runs in daemons: no
 * clustering, discovery or proxying by libraries, no child processes, and no reads of the system
 * clock in core outside {@code SystemClock}, since decisions must not depend on it directly.
 */
class ArchitectureTest {
    private static final String[] DAEMON_PACKAGES = {
        "org.crocusgrade.core..", "org.crocusgrade.peer..", "org.crocusgrade.daemon.."
    };

    private static final ArchRule PEER_DEPENDS_ONLY_ON_CORE =
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

    private static final ArchRule DAEMON_DOES_NOT_DEPEND_ON_TOOLS =
            noClasses()
                    .that()
                    .resideInAPackage("org.crocusgrade.daemon..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.crocusgrade.standin..",
                            "org.crocusgrade.bench..",
                            "org.crocusgrade.cli..");

    private static final ArchRule STANDIN_DOES_NOT_DEPEND_ON_DAEMON =
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

    private static final ArchRule NO_LIBRARY_CLUSTERING_DISCOVERY_OR_PROXYING =
            noClasses()
                    .that()
                    .resideInAnyPackage(DAEMON_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.vertx.core.spi.cluster..",
                            "io.vertx.core.shareddata..",
                            "io.vertx.core.eventbus..",
                            "io.vertx.httpproxy..",
                            "io.vertx.ext.web.proxy..",
                            "io.vertx.servicediscovery..");

    private static final ArchRule DAEMON_STARTS_NO_PROCESS =
            noClasses()
                    .that()
                    .resideInAnyPackage(DAEMON_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.ProcessBuilder")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Process");

    private static final ArchRule CORE_READS_NO_CLOCK =
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
                        PEER_DEPENDS_ONLY_ON_CORE,
                        DAEMON_DOES_NOT_DEPEND_ON_TOOLS,
                        STANDIN_DOES_NOT_DEPEND_ON_DAEMON,
                        NO_LIBRARY_CLUSTERING_DISCOVERY_OR_PROXYING,
                        DAEMON_STARTS_NO_PROCESS,
                        CORE_READS_NO_CLOCK)
                .map(r -> DynamicTest.dynamicTest(r.getDescription(), () -> r.check(classes)));
    }
}
