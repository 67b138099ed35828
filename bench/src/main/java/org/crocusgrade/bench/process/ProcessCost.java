package org.crocusgrade.bench.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * What a process has used so far, as the kernel counts it.
 *
 * @param ticks processor time of each group of threads, in ticks of 10 ms
 * @param residentBytes the memory that it occupies
 */
public record ProcessCost(Map<String, Long> ticks, long residentBytes) {
    /** Ticks in a second of processor time. */
    public static final int TICKS_PER_SECOND = 100;

    private static final int PAGE_BYTES = 4096;
    private static final int USER_FIELD = 11;
    private static final int SYSTEM_FIELD = 12;

    /** Copies the map. */
    public ProcessCost {
        ticks = Map.copyOf(ticks);
    }

    /** Reads what a process has used. */
    public static ProcessCost of(long pid) throws ProcessException {
        Path dir = Path.of("/proc", Long.toString(pid));
        Map<String, Long> ticks = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(dir.resolve("task"))) {
            for (Path thread : threads) {
                addThread(thread, ticks);
            }
            String pages = Files.readString(dir.resolve("statm")).split(" ")[1];
            return new ProcessCost(ticks, Long.parseLong(pages) * PAGE_BYTES);
        } catch (IOException e) {
            throw new ProcessException("process " + pid + " cannot be measured", e);
        }
    }

    private static void addThread(Path thread, Map<String, Long> ticks) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            int nameEnd = stat.lastIndexOf(')');
            String name = stat.substring(stat.indexOf('(') + 1, nameEnd);
            String[] fields = stat.substring(nameEnd + 2).split(" ");
            long used = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
            ticks.merge(group(name), used, Long::sum);
        } catch (NoSuchFileException e) {
            return;
        }
    }

    /** Returns the group of threads that a thread's name tells. */
    private static String group(String name) {
        if (name.equals("control")) {
            return "control";
        }
        if (name.startsWith("peer")) {
            return "peer";
        }
        if (name.startsWith("vert.x")) {
            return "loops";
        }
        boolean machine =
                name.startsWith("C1 ") || name.startsWith("C2 ") || name.startsWith("VM ");
        return machine ? "machine" : "other";
    }

    /** Returns the processor time of a group of threads, in seconds. */
    public double seconds(String group) {
        return ticks.getOrDefault(group, 0L) / (double) TICKS_PER_SECOND;
    }

    /** Returns the processor time of all threads, in seconds. */
    public double seconds() {
        return ticks.values().stream().mapToLong(Long::longValue).sum() / (double) TICKS_PER_SECOND;
    }
}
