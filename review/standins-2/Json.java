import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser: objects become maps, arrays lists, integers longs. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isEmpty() ? Map.of() : (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> object, String name) {
        return (List<Object>) object.getOrDefault(name, List.of());
    }

    static long number(Map<String, Object> object, String name, long otherwise) {
        return object.get(name) instanceof Number number ? number.longValue() : otherwise;
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char first = peek();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            while (peek() != '}') {
                String name = string();
                peek();
                mAt++;
                map.put(name, value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                if (word.matches("-?[0-9]+")) {
                    return Long.parseLong(word);
                }
                return Double.parseDouble(word);
        }
    }

    private String string() {
        peek();
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char next = mText.charAt(mAt);
            if (next != '\\') {
                text.append(next);
                continue;
            }
            next = mText.charAt(++mAt);
            switch (next) {
                case 'n' -> text.append('\n');
                case 'r' -> text.append('\r');
                case 't' -> text.append('\t');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                }
                default -> text.append(next);
            }
        }
        mAt++;
        return text.toString();
    }
}
