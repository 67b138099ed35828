package org.crocusgrade.bench.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The processor time and memory of a process, read from {@code /proc}.
 *
 * @param ticks processor time by group of threads, in ticks of 10 ms
 * @param residentBytes the resident memory
 */
public record ProcessCost(Map<String, Long> ticks, long residentBytes) {
    /** Ticks in a second of processor time. */
    public static final int TICKS_PER_SECOND = 100;

    private static final int PAGE_BYTES = 4096;

    /** The fields utime and stime of a stat file, counted after the thread's name. */
    private static final int UTIME_INDEX = 11;

    private static final int STIME_INDEX = 12;

    /** Copies the map. */
    public ProcessCost {
        ticks = Map.copyOf(ticks);
    }

    /** Reads the cost of a running process. */
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
            throw new ProcessException("process " + pid + " has no readable usage in /proc", e);
        }
    }

    private static void addThread(Path thread, Map<String, Long> ticks) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            int nameEnd = stat.lastIndexOf(')');
            String name = stat.substring(stat.indexOf('(') + 1, nameEnd);
            String[] fields = stat.substring(nameEnd + 2).split(" ");
            long used = Long.parseLong(fields[UTIME_INDEX]) + Long.parseLong(fields[STIME_INDEX]);
            ticks.merge(group(name), used, Long::sum);
        } catch (NoSuchFileException e) {
            // The thread ended after the directory was listed.
            return;
        }
    }

    /**
     * Returns the group of a thread by its name: {@code loops} are the Vert.x threads and {@code
     * machine} the JVM's compiler and VM threads.
     */
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
