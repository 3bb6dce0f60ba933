package wingroad.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
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
import wingroad.protocol.Json;

/**
 * The adapter for the simulator's wire: one line in, one line out, many instances. It decodes,
 * renames and encodes, and decides nothing.
 */
public final class SimHost {
    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final JsonFactory json = new JsonFactory();
    private final Map<Long, Instance> instances = new HashMap<>();

    /** Lists by number; a newer one takes over an older one's number. */
    private final Map<Long, List<?>> lists = new HashMap<>();

    public SimHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Serves until the input ends; returns the exit status. */
    public int run() throws IOException {
        ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            reply.reset();
            try {
                answer(line, reply);
            } catch (JsonProcessingException e) {
                err.println("simhost: not a line of the wire: " + e.getOriginalMessage());
                return 1;
            } catch (Json.Malformed e) {
                err.println("simhost: not a line of the wire: " + e.getMessage());
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
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Json.Malformed("no object");
            }
            batch = Json.object(Json.value(parser), "the line");
            if (parser.nextToken() != null) {
                throw new Json.Malformed("more than one value");
            }
        }
        double wall = Json.number(batch, "wall").doubleValue();
        try (JsonGenerator steps = json.createGenerator(reply)) {
            steps.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            steps.writeStartObject();
            steps.writeArrayFieldStart("groups");
            for (Object part : Json.list(batch, "groups")) {
                Map<String, Object> group = Json.object(part, "a group");
                long id = Json.number(group, "driver-id").longValue();
                steps.writeStartObject();
                steps.writeNumberField("driver-id", id);
                steps.writeArrayFieldStart("steps");
                serve(wall, id, Json.list(group, "events"), steps);
                steps.writeEndArray();
                steps.writeEndObject();
            }
            steps.writeEndArray();
            steps.writeEndObject();
        }
    }

    private void serve(double wall, long id, List<?> events, JsonGenerator steps)
            throws IOException {
        for (Object e : events) {
            Map<String, Object> event = Json.object(e, "an event");
            String name = Json.text(event, "msg");
            switch (name) {
                case "inventory" ->
                        lists.put(
                                Json.number(event, "buffer").longValue(),
                                Json.list(event, "members-list"));
                case "crash-now" -> instances.remove(id);
                case "power-on" -> {
                    try {
                        instances.put(
                                id,
                                new Instance(
                                        wall,
                                        Json.number(event, "salt").longValue(),
                                        Json.object(
                                                Json.need(event, "profile-data"), "'profile-data'"),
                                        steps));
                    } catch (Json.Malformed bad) {
                        throw bad;
                    } catch (RuntimeException bug) {
                        Instance.crash(steps, bug);
                    }
                }
                default -> {
                    Instance instance = instances.get(id);
                    if (instance != null) {
                        instance.take(wall, name, event, lists, steps);
                    }
                }
            }
        }
        Instance instance = instances.get(id);
        if (instance != null) {
            instance.decide(wall, steps);
        }
    }
}
