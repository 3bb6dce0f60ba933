package wingroad.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;

import wingroad.protocol.Json;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Serves the simulator's protocol: each input line holds a batch of events for any number of driver
 * instances and is answered by one line of actions. All decisions are made by the routers.
 */
public final class SimHost {
    private static final int BUFFER_SIZE_BYTES = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<Long, DriverInstance> instances = new HashMap<>();

    /** Member lists by number; a newer list may reuse the number of an older one. */
    private final Map<Long, List<?>> memberLists = new HashMap<>();

    public SimHost(InputStream in, OutputStream out, PrintStream err) {
        this.in =
                new BufferedReader(
                        new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_SIZE_BYTES);
        this.out = out;
        this.err = err;
    }

    /** Serves until the input ends; returns the exit status, 1 after an invalid line. */
    public int run() throws IOException {
        ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_SIZE_BYTES);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            reply.reset();
            try {
                answer(line, reply);
            } catch (JsonProcessingException e) {
                err.println("simhost: invalid input line: " + e.getOriginalMessage());
                return 1;
            } catch (Json.MalformedJsonException e) {
                err.println("simhost: invalid input line: " + e.getMessage());
                return 1;
            }
            reply.write('\n');
            reply.writeTo(out);
            out.flush();
        }
        return 0;
    }

    private void answer(String line, OutputStream reply) throws IOException {
        Map<String, Object> batch;
        try (JsonParser parser = jsonFactory.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Json.MalformedJsonException("a JSON object is expected");
            }
            batch = Json.object(Json.readValue(parser), "the line");
            if (parser.nextToken() != null) {
                throw new Json.MalformedJsonException("more than one value in the line");
            }
        }
        double wallMs = Json.number(batch, "wall").doubleValue();
        try (JsonGenerator output = jsonFactory.createGenerator(reply)) {
            output.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            output.writeStartObject();
            output.writeArrayFieldStart("groups");
            for (Object part : Json.list(batch, "groups")) {
                Map<String, Object> group = Json.object(part, "a group");
                long instanceId = Json.number(group, "driver-id").longValue();
                output.writeStartObject();
                output.writeNumberField("driver-id", instanceId);
                output.writeArrayFieldStart("steps");
                handleEvents(wallMs, instanceId, Json.list(group, "events"), output);
                output.writeEndArray();
                output.writeEndObject();
            }
            output.writeEndArray();
            output.writeEndObject();
        }
    }

    private void handleEvents(double wallMs, long instanceId, List<?> events, JsonGenerator output)
            throws IOException {
        for (Object element : events) {
            Map<String, Object> event = Json.object(element, "an event");
            String eventName = Json.string(event, "msg");
            switch (eventName) {
                case "inventory" ->
                        memberLists.put(
                                Json.number(event, "buffer").longValue(),
                                Json.list(event, "members-list"));
                case "crash-now" -> instances.remove(instanceId);
                case "power-on" -> {
                    try {
                        instances.put(
                                instanceId,
                                new DriverInstance(
                                        wallMs,
                                        Json.number(event, "salt").longValue(),
                                        Json.object(
                                                Json.required(event, "profile-data"),
                                                "'profile-data'"),
                                        output));
                    } catch (Json.MalformedJsonException malformed) {
                        throw malformed;
                    } catch (RuntimeException exception) {
                        DriverInstance.writeCrash(output, exception);
                    }
                }
                default -> {
                    DriverInstance instance = instances.get(instanceId);
                    if (instance != null) {
                        instance.handleEvent(wallMs, eventName, event, memberLists, output);
                    }
                }
            }
        }
        DriverInstance instance = instances.get(instanceId);
        if (instance != null) {
            instance.writeDecisions(wallMs, output);
        }
    }
}
