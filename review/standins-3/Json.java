import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads just as much JSON as the stand-ins need: the members of an object and the elements of a list, as raw text. */
final class Json {
    private Json() {
    }

    static Map<String, String> members(String text) {
        Map<String, String> members = new LinkedHashMap<>();
        int at = skipBlanks(text, 0);
        if (at >= text.length() || text.charAt(at) != '{') throw new IllegalArgumentException("no object");
        at = skipBlanks(text, at + 1);
        while (text.charAt(at) != '}') {
            int nameEnd = end(text, at);
            String name = string(text.substring(at, nameEnd));
            at = skipBlanks(text, nameEnd);
            if (text.charAt(at) != ':') throw new IllegalArgumentException("no colon at " + at);
            at = skipBlanks(text, at + 1);
            int valueEnd = end(text, at);
            members.put(name, text.substring(at, valueEnd));
            at = skipBlanks(text, valueEnd);
            if (text.charAt(at) == ',') at = skipBlanks(text, at + 1);
        }
        return members;
    }

    static List<String> elements(String text) {
        List<String> elements = new ArrayList<>();
        int at = skipBlanks(text, 0);
        if (at >= text.length() || text.charAt(at) != '[') throw new IllegalArgumentException("no list");
        at = skipBlanks(text, at + 1);
        while (text.charAt(at) != ']') {
            int valueEnd = end(text, at);
            elements.add(text.substring(at, valueEnd));
            at = skipBlanks(text, valueEnd);
            if (text.charAt(at) == ',') at = skipBlanks(text, at + 1);
        }
        return elements;
    }

    /** The text of a JSON string, or of a number as it stands. */
    static String string(String raw) {
        if (raw == null || raw.equals("null")) return null;
        if (!raw.startsWith("\"")) return raw;
        if (raw.indexOf('\\') < 0) return raw.substring(1, raw.length() - 1);
        StringBuilder text = new StringBuilder();
        for (int i = 1; i < raw.length() - 1; i++) {
            char c = raw.charAt(i);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char escaped = raw.charAt(++i);
            switch (escaped) {
                case 'n' -> text.append('\n');
                case 't' -> text.append('\t');
                case 'r' -> text.append('\r');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(raw.substring(i + 1, i + 5), 16));
                    i += 4;
                }
                default -> text.append(escaped);
            }
        }
        return text.toString();
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }

    private static int skipBlanks(String text, int at) {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
        return at;
    }

    /** The end of the value that begins at {@code at}, exclusive. */
    private static int end(String text, int at) {
        char first = text.charAt(at);
        if (first == '"') {
            for (int i = at + 1; ; i++) {
                char c = text.charAt(i);
                if (c == '\\') i++;
                else if (c == '"') return i + 1;
            }
        }
        if (first == '{' || first == '[') {
            int depth = 0;
            for (int i = at; ; i++) {
                char c = text.charAt(i);
                if (c == '"') i = end(text, i) - 1;
                else if (c == '{' || c == '[') depth++;
                else if ((c == '}' || c == ']') && --depth == 0) return i + 1;
            }
        }
        int i = at;
        while (i < text.length() && ",]} \n\r\t".indexOf(text.charAt(i)) < 0) i++;
        return i;
    }
}
