package org.crocusgrade.bench.experiment;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of an experiment: rows of numbers whose first column is the varied size. */
public final class ExperimentTable {
    private final String name;
    private final List<String> columns;
    private final List<List<Double>> rows = new ArrayList<>();

    /** Creates an empty table; the first column is the varied size. */
    public ExperimentTable(String name, List<String> columns) {
        this.name = name;
        this.columns = List.copyOf(columns);
    }

    /** Adds a row with one value per column. */
    public void add(List<Double> row) {
        if (row.size() != columns.size()) {
            throw new IllegalArgumentException("row must have one value for each column");
        }
        rows.add(List.copyOf(row));
    }

    public String name() {
        return name;
    }

    public List<String> columns() {
        return columns;
    }

    public List<Double> column(int index) {
        return rows.stream().map(row -> row.get(index)).toList();
    }

    /** Returns the least-squares line of a column over the sizes. */
    public SlopeFit fit(int index) {
        return SlopeFit.of(column(0), column(index));
    }

    /** Returns the table as CSV with six significant digits. */
    public String toCsv() {
        StringBuilder text = new StringBuilder(String.join(",", columns)).append('\n');
        for (List<Double> row : rows) {
            List<String> values = row.stream().map(ExperimentTable::csvValue).toList();
            text.append(String.join(",", values)).append('\n');
        }
        return text.toString();
    }

    /**
     * Returns the table as aligned text, with the least-squares line of each column if there are at
     * least two rows.
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        columns.forEach(column -> text.append(String.format(" %23s", column)));
        text.append('\n');
        for (List<Double> row : rows) {
            row.forEach(value -> text.append(String.format(" %23s", textValue(value))));
            text.append('\n');
        }
        if (rows.size() > 1) {
            text.append("\nslopes over ").append(columns.get(0)).append('\n');
            for (int i = 1; i < columns.size(); i++) {
                SlopeFit fit = fit(i);
                text.append(
                        String.format(
                                Locale.ROOT,
                                "%22s  %s + %s x, R2 %.3f%n",
                                columns.get(i),
                                textValue(fit.intercept()),
                                textValue(fit.slope()),
                                fit.rSquared()));
            }
        }
        return text.toString();
    }

    /** Returns the table as a JSON object with one object per row, keyed by column name. */
    public JsonObject toJson() {
        JsonArray all = new JsonArray();
        for (List<Double> row : rows) {
            JsonObject json = new JsonObject();
            for (int i = 0; i < columns.size(); i++) {
                json.put(columns.get(i), row.get(i));
            }
            all.add(json);
        }
        return new JsonObject().put("experiment", name).put("rows", all);
    }

    private static String csvValue(double value) {
        return String.format(Locale.ROOT, "%.6g", value);
    }

    private static String textValue(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
