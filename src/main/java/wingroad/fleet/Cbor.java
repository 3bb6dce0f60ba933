package wingroad.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORFactoryBuilder;

import wingroad.protocol.Json;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

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

    static byte[] encode(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            encode(out, value);
        } catch (IOException entry) {
            throw new UncheckedIOException(entry);
        }
        return bytes.toByteArray();
    }

    private static void encode(JsonGenerator out, Object value) throws IOException {
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
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object element : list) {
                encode(out, element);
            }
            out.writeEndArray();
        } else if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName((String) entry.getKey());
                encode(out, entry.getValue());
            }
            out.writeEndObject();
        } else {
            throw new IllegalArgumentException("no form for " + value.getClass());
        }
    }

    /** The map that the bytes are; throws {@link Json.Malformed} where they are none. */
    static Map<String, Object> decode(byte[] bytes) {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            in.nextToken();
            return Json.object(Json.value(in), "a message");
        } catch (IOException e) {
            throw new Json.Malformed("no CBOR: " + e.getMessage());
        }
    }
}
