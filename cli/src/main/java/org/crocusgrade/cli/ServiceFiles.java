package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigProblem;
import org.crocusgrade.core.id.ServiceId;

/** Reads the service files given to a command, and formats their problems. */
final class ServiceFiles {
    private ServiceFiles() {}

    /**
     * Reads files and validates each by itself; throws with the problems of all files, or at the
     * first file that cannot be read.
     */
    static ConfigChange read(List<Path> files, Set<ServiceId> remove) throws CliException {
        Map<String, String> texts = new LinkedHashMap<>();
        for (Path file : files) {
            byte[] content = CommonOptions.readFile(file);
            texts.put(file.toString(), new String(content, StandardCharsets.UTF_8));
        }
        try {
            return ConfigChange.of(texts, remove);
        } catch (ConfigException e) {
            throw new CliException(e.problems());
        }
    }

    /** Returns the problems as a JSON array. */
    static ArrayNode json(List<ConfigProblem> problems) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        for (ConfigProblem p : problems) {
            array.addObject()
                    .put("code", p.message().code)
                    .put("severity", p.message().severity.name().toLowerCase(java.util.Locale.ROOT))
                    .put("file", p.file())
                    .put("line", p.line())
                    .put("key", p.key())
                    .put("text", p.text())
                    .put("accepted", p.accepted());
        }
        return array;
    }
}
