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

/** Reads JSON values and accesses the members of JSON objects with type checks. */
public final class Json {
    /** Input nested more deeply is rejected long before it could overflow the stack. */
    private static final int MAX_NESTING_DEPTH = 64;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .build())
                    .build();

    private Json() {}

    /**
     * Parses a JSON object.
     *
     * @param description names the value in error messages
     * @param text the JSON document in UTF-8
     */
    public static Map<String, Object> object(byte[] text, String description) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            return object(readValue(parser), description);
        }
    }

    /**
     * Reads the value at the parser's current token: Map, List, String, Long, Double, Boolean or
     * null.
     */
    public static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new MalformedJsonException("the line ends early");
        }
        switch (token) {
            case START_OBJECT:
                {
                    Map<String, Object> object = new HashMap<>();
                    while (parser.nextToken() != JsonToken.END_OBJECT) {
                        String name = parser.currentName();
                        parser.nextToken();
                        object.put(name, readValue(parser));
                    }
                    return object;
                }
            case START_ARRAY:
                {
                    List<Object> list = new ArrayList<>();
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        list.add(readValue(parser));
                    }
                    return list;
                }
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue()
                        : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                throw new MalformedJsonException("no value where one belongs");
        }
    }

    /** Converts milliseconds to a Duration, rounded to the microsecond. */
    public static Duration durationOfMillis(Number millis) {
        return Duration.ofNanos(Math.round(millis.doubleValue() * 1000) * 1000);
    }

    /** Converts a Duration to milliseconds, rounded to the microsecond. */
    public static double toMillis(Duration duration) {
        return Math.round(duration.toNanos() / 1000.0) / 1000.0;
    }

    /** Returns the named member; throws if it is absent or null. */
    public static Object required(Map<String, Object> object, String name) {
        Object value = object.get(name);
        if (value == null) {
            throw new MalformedJsonException("no '" + name + "'");
        }
        return value;
    }

    public static String string(Map<String, Object> object, String name) {
        if (required(object, name) instanceof String s) {
            return s;
        }
        throw new MalformedJsonException("'" + name + "' is no text");
    }

    public static Number number(Map<String, Object> object, String name) {
        if (required(object, name) instanceof Number n) {
            return n;
        }
        throw new MalformedJsonException("'" + name + "' is no number");
    }

    public static Number number(Map<String, Object> object, String name, Number defaultValue) {
        return object.get(name) == null ? defaultValue : number(object, name);
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value, String description) {
        if (value instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new MalformedJsonException(description + " is no object");
    }

    public static List<?> list(Map<String, Object> object, String name) {
        if (required(object, name) instanceof List<?> l) {
            return l;
        }
        throw new MalformedJsonException("'" + name + "' is no list");
    }

    /** Thrown for JSON that does not have the expected structure. */
    public static final class MalformedJsonException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public MalformedJsonException(String what) {
            super(what);
        }
    }
}
