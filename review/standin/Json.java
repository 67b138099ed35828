import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) {
            throw new IllegalArgumentException("text after the end of a JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) read(text);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    static long number(Map<String, Object> map, String field, long otherwise) {
        return map.get(field) instanceof Number number ? number.longValue() : otherwise;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> map, String field) {
        return map.get(field) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        switch (c) {
            case '{':
                return map();
            case '[':
                return array();
            case '"':
                return string();
            case 't':
                return word("true", true);
            case 'f':
                return word("false", false);
            case 'n':
                return word("null", null);
            default:
                return numeral();
        }
    }

    private Object word(String word, Object value) {
        if (!text.startsWith(word, at)) {
            throw new IllegalArgumentException("not JSON at " + at);
        }
        at += word.length();
        return value;
    }

    private Object numeral() {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String digits = text.substring(start, at);
        if (digits.contains(".") || digits.contains("e") || digits.contains("E")) {
            return Double.parseDouble(digits);
        }
        return Long.parseLong(digits);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (text.charAt(at) == '}') {
            at++;
            return map;
        }
        while (true) {
            space();
            String key = string();
            space();
            expect(':');
            map.put(key, value());
            space();
            if (text.charAt(at) == '}') {
                at++;
                return map;
            }
            expect(',');
        }
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (text.charAt(at) == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            space();
            if (text.charAt(at) == ']') {
                at++;
                return list;
            }
            expect(',');
        }
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') {
                return out.toString();
            }
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
    }

    private void expect(char c) {
        if (text.charAt(at) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                writeString(out, (String) entry.getKey());
                out.append(':');
                write(out, entry.getValue());
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                out.append(i == 0 ? "" : ",");
                write(out, list.get(i));
            }
            out.append(']');
        } else if (value instanceof String text) {
            writeString(out, text);
        } else {
            out.append(value);
        }
    }

    private static void writeString(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
