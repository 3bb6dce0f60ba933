package wingroad.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON values from a token stream, and the figures in them. */
public final class Json {
    /** What is nested deeper than anything agreed is an error, long before the stack ends. */
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(64).build())
                    .build();

    private Json() {}

    /** The object that the text is. */
    public static Map<String, Object> object(byte[] text, String what) throws IOException {
        try (JsonParser in = FACTORY.createParser(text)) {
            in.nextToken();
            return object(value(in), what);
        }
    }

    /** The value that the parser stands on: Map, List, String, Long, Double, Boolean or null. */
    public static Object value(JsonParser in) throws IOException {
        JsonToken t = in.currentToken();
        if (t == null) {
            throw new Malformed("the line ends early");
        }
        switch (t) {
            case START_OBJECT:
                {
                    Map<String, Object> object = new HashMap<>();
                    while (in.nextToken() != JsonToken.END_OBJECT) {
                        String name = in.currentName();
                        in.nextToken();
                        object.put(name, value(in));
                    }
                    return object;
                }
            case START_ARRAY:
                {
                    List<Object> list = new ArrayList<>();
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        list.add(value(in));
                    }
                    return list;
                }
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getDoubleValue()
                        : (Object) in.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                throw new Malformed("no value where one belongs");
        }
    }

    /** Milliseconds as a Duration, to the microsecond. */
    public static Duration span(Number ms) {
        return Duration.ofNanos(Math.round(ms.doubleValue() * 1000) * 1000);
    }

    public static double ms(Duration d) {
        return Math.round(d.toNanos() / 1000.0) / 1000.0;
    }

    public static Object need(Map<String, Object> m, String name) {
        Object v = m.get(name);
        if (v == null) {
            throw new Malformed("no '" + name + "'");
        }
        return v;
    }

    public static String text(Map<String, Object> m, String name) {
        if (need(m, name) instanceof String s) {
            return s;
        }
        throw new Malformed("'" + name + "' is no text");
    }

    public static Number number(Map<String, Object> m, String name) {
        if (need(m, name) instanceof Number n) {
            return n;
        }
        throw new Malformed("'" + name + "' is no number");
    }

    public static Number number(Map<String, Object> m, String name, Number absent) {
        return m.get(name) == null ? absent : number(m, name);
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object v, String what) {
        if (v instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new Malformed(what + " is no object");
    }

    public static List<?> list(Map<String, Object> m, String name) {
        if (need(m, name) instanceof List<?> l) {
            return l;
        }
        throw new Malformed("'" + name + "' is no list");
    }

    /** The text is not of the shape that was agreed. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public Malformed(String what) {
            super(what);
        }
    }
}
