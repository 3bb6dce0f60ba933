package wingroad.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORFactoryBuilder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import wingroad.protocol.Json;

/**
 * Values as CBOR (RFC 8949): maps with names, lists, strings, whole numbers, doubles, booleans and
 * null.
 */
final class Cbor {
    private static final CBORFactory FACTORY =
            new CBORFactoryBuilder(new CBORFactory())
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(64).build())
                    .build();

    private Cbor() {}

    static byte[] write(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            write(out, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value == null) {
            out.writeNull();
        } else if (value instanceof String s) {
            out.writeString(s);
        } else if (value instanceof Long || value instanceof Integer) {
            out.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double d) {
            out.writeNumber(d);
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value instanceof List<?> l) {
            out.writeStartArray();
            for (Object o : l) {
                write(out, o);
            }
            out.writeEndArray();
        } else if (value instanceof Map<?, ?> m) {
            out.writeStartObject();
            for (Map.Entry<?, ?> e : m.entrySet()) {
                out.writeFieldName((String) e.getKey());
                write(out, e.getValue());
            }
            out.writeEndObject();
        } else {
            throw new IllegalArgumentException("no form for " + value.getClass());
        }
    }

    /** The map that the bytes are; throws {@link Json.Malformed} where they are none. */
    static Map<String, Object> map(byte[] bytes) {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            in.nextToken();
            return Json.object(Json.value(in), "a message");
        } catch (IOException e) {
            throw new Json.Malformed("no CBOR: " + e.getMessage());
        }
    }
}
