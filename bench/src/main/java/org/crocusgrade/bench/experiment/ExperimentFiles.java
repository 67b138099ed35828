package org.crocusgrade.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes the results of an experiment to a directory, as CSV and as a plot. */
public final class ExperimentFiles {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;

    private ExperimentFiles() {}

    /** Writes the CSV and PNG files, named after the experiment, and returns their paths. */
    public static List<Path> write(ExperimentTable table, Path directory)
            throws ExperimentException {
        System.setProperty("java.awt.headless", "true");
        try {
            Files.createDirectories(directory);
            Path csv = directory.resolve(table.name() + ".csv");
            Files.writeString(csv, table.toCsv());
            Path png = directory.resolve(table.name() + ".png");
            BitmapEncoder.saveBitmap(chart(table), png.toString(), BitmapEncoder.BitmapFormat.PNG);
            return List.of(csv, png);
        } catch (IOException e) {
            throw new ExperimentException("could not write the result files of the experiment", e);
        }
    }

    private static XYChart chart(ExperimentTable table) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(table.name())
                        .xAxisTitle(table.columns().get(0))
                        .build();
        for (int i = 1; i < table.columns().size(); i++) {
            chart.addSeries(table.columns().get(i), table.column(0), table.column(i));
        }
        return chart;
    }
}
