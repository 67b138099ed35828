package org.crocusgrade.bench.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeFitTest {
    @Test
    void fitsPointsOnALineExactly() {
        SlopeFit fit = SlopeFit.of(List.of(1.0, 2.0, 4.0), List.of(5.0, 7.0, 11.0));
        assertThat(fit.slope(), closeTo(2, 1e-9));
        assertThat(fit.intercept(), closeTo(3, 1e-9));
        assertThat(fit.rSquared(), closeTo(1, 1e-9));
        assertThat(fit.at(10), closeTo(23, 1e-9));
    }

    @Test
    void reportsTheShareOfVarianceExplained() {
        SlopeFit fit = SlopeFit.of(List.of(0.0, 1.0, 2.0, 3.0), List.of(0.0, 2.0, 0.0, 2.0));
        assertThat(fit.slope(), closeTo(0.4, 1e-9));
        assertThat(fit.rSquared(), closeTo(0.2, 1e-9));
    }

    @Test
    void rejectsPointsThatDefineNoLine() {
        assertThrows(
                IllegalArgumentException.class,
                () -> SlopeFit.of(List.of(1.0, 1.0), List.of(1.0, 2.0)));
        assertThrows(IllegalArgumentException.class, () -> SlopeFit.of(List.of(1.0), List.of(1.0)));
    }

    @Test
    void tableFitsAColumnAndWritesCsv() {
        ExperimentTable table = new ExperimentTable("t", List.of("x", "y"));
        table.add(List.of(1.0, 3.0));
        table.add(List.of(2.0, 6.0));
        assertThat(table.fit(1).slope(), closeTo(3, 1e-9));
        assertThat(table.toCsv(), is("x,y\n1.00000,3.00000\n2.00000,6.00000\n"));
        assertThrows(IllegalArgumentException.class, () -> table.add(List.of(1.0)));
    }
}
