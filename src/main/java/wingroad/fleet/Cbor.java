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
 * Encodes and decodes plain values as CBOR (RFC 8949): maps with string keys, lists, strings,
 * integers, doubles, booleans and null.
 */
final class Cbor {
    private static final int MAX_NESTING_DEPTH = 64;

    /** Rejects input that is nested more deeply than {@link #MAX_NESTING_DEPTH}. */
    private static final CBORFactory FACTORY =
            new CBORFactoryBuilder(new CBORFactory())
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .build())
                    .build();

    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(output)) {
            encode(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toByteArray();
    }

    private static void encode(JsonGenerator generator, Object value) throws IOException {
        if (value == null) {
            generator.writeNull();
        } else if (value instanceof String s) {
            generator.writeString(s);
        } else if (value instanceof Long || value instanceof Integer) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double d) {
            generator.writeNumber(d);
        } else if (value instanceof Boolean b) {
            generator.writeBoolean(b);
        } else if (value instanceof List<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                encode(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                encode(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else {
            throw new IllegalArgumentException("cannot encode " + value.getClass());
        }
    }

    /**
     * Decodes a map; throws {@link Json.MalformedJsonException} if the bytes are not the encoding
     * of one.
     */
    static Map<String, Object> decode(byte[] bytes) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            return Json.object(Json.readValue(parser), "a message");
        } catch (IOException e) {
            throw new Json.MalformedJsonException("no CBOR: " + e.getMessage());
        }
    }
}
