import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    /** A value that is printed as it stands. */
    static final class Raw {
        final String text;

        Raw(String text) {
            this.text = text;
        }
    }

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.blanks();
        if (json.at < text.length()) throw json.error("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> array(Object value) {
        return (List<Object>) value;
    }

    /** An object of the given keys and values, in turn. */
    static Map<String, Object> of(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }

    private RuntimeException error(String what) {
        return new IllegalArgumentException("JSON: " + what + " at " + at);
    }

    private void blanks() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private char peek() {
        blanks();
        if (at >= text.length()) throw error("end of text");
        return text.charAt(at);
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            if (peek() == '}') {
                at++;
                return map;
            }
            while (true) {
                if (peek() != '"') throw error("no name");
                String name = string();
                if (peek() != ':') throw error("no colon");
                at++;
                map.put(name, value());
                char next = peek();
                at++;
                if (next == '}') return map;
                if (next != ',') throw error("no comma");
            }
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            if (peek() == ']') {
                at++;
                return list;
            }
            while (true) {
                list.add(value());
                char next = peek();
                at++;
                if (next == ']') return list;
                if (next != ',') throw error("no comma");
            }
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return Boolean.TRUE;
            case "false": return Boolean.FALSE;
            case "null": return null;
            default:
        }
        if (word.matches("-?[0-9]+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (true) {
            if (at >= text.length()) throw error("an open string");
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(escaped);
            }
        }
    }

    static String print(Object value) {
        StringBuilder out = new StringBuilder();
        print(value, out);
        return out.toString();
    }

    private static void print(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                if (!first) out.append(',');
                first = false;
                quote(entry.getKey().toString(), out);
                out.append(':');
                print(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            boolean first = true;
            for (Object element : (List<?>) value) {
                if (!first) out.append(',');
                first = false;
                print(element, out);
            }
            out.append(']');
        } else if (value instanceof String) {
            quote((String) value, out);
        } else if (value instanceof Raw) {
            out.append(((Raw) value).text);
        } else {
            out.append(value);
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c == '\n') out.append("\\n");
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }
}
