package org.crocusgrade.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** A text table. Each column is as wide as its longest cell; numbers are right-aligned. */
public final class Table {
    private static final String GAP = "  ";
    private static final Pattern NUMBER = Pattern.compile("[0-9.]+[A-Za-z%]{0,3}");

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table that has only headings. */
    public Table(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row; null and empty cells are printed as a dash. */
    public Table row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(cell == null || cell.toString().isEmpty() ? "-" : cell.toString());
        }
        rows.add(row);
        return this;
    }

    @Override
    public String toString() {
        int columns = rows.get(0).size();
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                String cell = i < row.size() ? row.get(i) : "";
                String pad = " ".repeat(width(i) - cell.length());
                line.append(i == 0 ? "" : GAP);
                line.append(isNumber(cell) ? pad + cell : cell + pad);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream()
                .mapToInt(row -> column < row.size() ? row.get(column).length() : 0)
                .max()
                .orElse(0);
    }

    private static boolean isNumber(String cell) {
        return NUMBER.matcher(cell).matches();
    }
}
