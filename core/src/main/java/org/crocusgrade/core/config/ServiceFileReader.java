package org.crocusgrade.core.config;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocusgrade.core.config.ServiceConfig.Budget;
import org.crocusgrade.core.config.ServiceConfig.Capacity;
import org.crocusgrade.core.config.ServiceConfig.Maintenance;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.config.ServiceConfig.PathRule;
import org.crocusgrade.core.config.ServiceConfig.Quota;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;

/** Reads and validates one service file. */
public final class ServiceFileReader {
    /** Maximum size of a service file, in bytes. */
    public static final int MAX_FILE_BYTES = IniReader.MAX_FILE_BYTES;

    private static final int MAX_WORKERS = 10_000;
    private static final int MAX_QUEUE = 100_000;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_LENDERS = 100;
    private static final int MAX_PATH_RULES = 256;

    private static final ValueParser<Integer> WORKERS = ValueParsers.integer(1, MAX_WORKERS);
    private static final ValueParser<Duration> REQUEST_TIME =
            ValueParsers.duration(Duration.ofMillis(1), Duration.ofDays(1));
    private static final Pattern PATH_RULE = Pattern.compile("([A-Z]{1,16}|\\*) +(/[^ ]*)");
    private static final String PATH_RULE_SYNTAX =
            "METHOD /path = idempotent or not-idempotent; * for any method";

    private final IniDocument doc;
    private final Problems problems;

    private ServiceFileReader(IniDocument doc, Problems problems) {
        this.doc = doc;
        this.problems = problems;
    }

    /** Parses a file's text; the exception carries every problem found. */
    public static ServiceConfig read(String file, String text) throws ConfigException {
        return read(file, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Parses a file's bytes; the exception carries every problem found. */
    public static ServiceConfig read(String file, byte[] content) throws ConfigException {
        Problems problems = new Problems(file);
        IniDocument doc = IniDocument.read(content, problems);
        return new ServiceFileReader(doc, problems).readAll();
    }

    private ServiceConfig readAll() throws ConfigException {
        ServiceId service = required("service", "name", ValueParsers.id(ServiceId::new));
        PoolId pool = required("service", "pool", ValueParsers.id(PoolId::new));
        ServiceClass serviceClass = required("service", "class", serviceClasses());
        Duration deadline = required("service", "deadline", REQUEST_TIME);
        Duration runTime = required("service", "run-time", REQUEST_TIME);
        Integer queueBound = required("service", "queue-bound", ValueParsers.integer(1, MAX_QUEUE));
        Boolean cancelRunning = optional("service", "cancel-running", ValueParsers.yesNo(), false);
        Boolean keyRequired = optional("service", "key-required", ValueParsers.yesNo(), false);
        Needs needs = needs();
        Capacity capacity = capacity();
        Budget budget = budget();
        Maintenance maintenance = maintenance();
        List<PathRule> paths = paths();
        Map<CustomerId, Quota> quotas = quotas();
        doc.rejectUnknown(problems);
        problems.check();
        ServiceConfig config =
                new ServiceConfig(
                        service,
                        pool,
                        serviceClass,
                        deadline,
                        runTime,
                        queueBound,
                        needs,
                        capacity,
                        budget,
                        maintenance,
                        cancelRunning,
                        keyRequired,
                        paths,
                        quotas);
        ServiceRules.check(config, doc, problems);
        problems.check();
        return config;
    }

    private Needs needs() {
        Integer cores = required("needs", "cores", ValueParsers.integer(1, 4_096));
        Long memory = required("needs", "memory", ValueParsers.size(1L << 20, 1L << 46));
        Integer accelerators = optional("needs", "accelerators", ValueParsers.integer(0, 64), 0);
        if (cores == null || memory == null || accelerators == null) {
            return null;
        }
        return new Needs(cores, memory, accelerators);
    }

    private Capacity capacity() {
        Integer min = required("capacity", "min-workers", WORKERS);
        Integer usual = required("capacity", "usual-workers", WORKERS);
        Integer max = required("capacity", "max-workers", WORKERS);
        Boolean spare = optional("capacity", "spare", ValueParsers.yesNo(), false);
        List<PoolId> lenders =
                optional(
                        "capacity",
                        "borrow-from",
                        ValueParsers.list(ValueParsers.id(PoolId::new), MAX_LENDERS),
                        List.of());
        if (min == null || usual == null || max == null || spare == null || lenders == null) {
            return null;
        }
        return new Capacity(min, usual, max, spare, lenders);
    }

    private Budget budget() {
        Integer down = required("budget", "max-unavailable", WORKERS);
        Integer zones =
                optional("budget", "max-unavailable-zones", ValueParsers.integer(1, 100), 1);
        return down == null || zones == null ? null : new Budget(down, zones);
    }

    private Maintenance maintenance() {
        Duration every =
                required(
                        "maintenance",
                        "every",
                        ValueParsers.duration(Duration.ofHours(1), Duration.ofDays(365)));
        Duration drain =
                required(
                        "maintenance",
                        "max-drain",
                        ValueParsers.duration(Duration.ofSeconds(1), Duration.ofDays(2)));
        Boolean yield = optional("maintenance", "yield-to-surge", ValueParsers.yesNo(), true);
        if (every == null || drain == null || yield == null) {
            return null;
        }
        return new Maintenance(every, drain, yield);
    }

    private List<PathRule> paths() {
        List<PathRule> rules = new ArrayList<>();
        ValueParser<Boolean> parser =
                ValueParsers.word(words("idempotent", true, "not-idempotent", false));
        for (IniEntry entry : doc.openSection("paths")) {
            Matcher m = PATH_RULE.matcher(entry.key());
            if (!m.matches() || rules.size() >= MAX_PATH_RULES) {
                reportKey(
                        m.matches() ? ConfigMessage.OUT_OF_RANGE : ConfigMessage.BAD_VALUE,
                        entry,
                        PATH_RULE_SYNTAX + "; at most " + MAX_PATH_RULES);
                continue;
            }
            Boolean idempotent = IniDocument.parse(entry, parser, problems);
            if (idempotent != null) {
                rules.add(new PathRule(m.group(1), m.group(2), idempotent));
            }
        }
        return rules;
    }

    private Map<CustomerId, Quota> quotas() {
        Map<CustomerId, Quota> quotas = new LinkedHashMap<>();
        ValueParser<Integer> slots = ValueParsers.integer(1, MAX_SLOTS);
        doc.open("quotas", ValueParsers.id(CustomerId::new), slots, problems)
                .forEach((customer, count) -> quotas.put(customer, new Quota(count)));
        return quotas;
    }

    private void reportKey(ConfigMessage message, IniEntry entry, String accepted) {
        problems.add(message, entry.line(), entry.label(), accepted, Problems.shown(entry.key()));
    }

    private <T> T required(String section, String key, ValueParser<T> parser) {
        return doc.required(section, key, parser, problems);
    }

    private <T> T optional(String section, String key, ValueParser<T> parser, T defaultValue) {
        return doc.optional(section, key, parser, defaultValue, problems);
    }

    private static ValueParser<ServiceClass> serviceClasses() {
        Map<String, ServiceClass> words = new LinkedHashMap<>();
        for (ServiceClass value : ServiceClass.values()) {
            words.put(value.word, value);
        }
        return ValueParsers.word(words);
    }

    private static <T> Map<String, T> words(String first, T a, String second, T b) {
        Map<String, T> words = new LinkedHashMap<>();
        words.put(first, a);
        words.put(second, b);
        return words;
    }
}
