package wingroad.driver;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wingroad.duty.RelayHealth;
import wingroad.fleet.Fleet;
import wingroad.fleet.FleetRules;
import wingroad.protocol.Json;
import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;
import wingroad.transport.EventLoop;

/**
 * Discovery asked by one driver for all: hands on what the owner finds, takes what is handed on,
 * and follows discovery itself whenever {@link RelayHealth} does not go by the owner. On the loop's
 * thread, but for {@link #messageReceived}.
 */
final class MemberListRelay {
    private final EventLoop loop;
    private final Clock clock;
    private final DiscoveryClient discovery;
    private final Consumer<MemberList> onList;
    private final Consumer<String> log;
    private final Duration checkInterval;
    private final RelayHealth relayHealth;
    private Fleet fleet;
    private long version;
    private boolean followsOwner;

    MemberListRelay(
            EventLoop loop,
            Clock clock,
            DiscoveryClient discovery,
            FleetRules rules,
            long knownVersion,
            Consumer<MemberList> onList,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.discovery = discovery;
        this.onList = onList;
        this.log = log;
        checkInterval = rules.lease().beat().dividedBy(2);
        // Three of the owner's words may be lost; as long may it be behind what is known here.
        relayHealth =
                new RelayHealth(
                        rules.lease().beat().multipliedBy(3),
                        rules.lease().beat().multipliedBy(3),
                        rules.listCheck());
        version = knownVersion;
        relayHealth.found(knownVersion, clock.now());
    }

    void start(Fleet joinedFleet) {
        fleet = joinedFleet;
        checkInterval();
    }

    /** A list that this driver has found by itself. */
    void listFound(MemberList list) {
        relayHealth.found(list.version(), clock.now());
        if (list.version() > version) {
            publish(version, list);
            version = list.version();
        }
    }

    private void publish(long since, MemberList list) {
        if (fleet != null) {
            List<Object> entries = new ArrayList<>();
            for (Entry entry : list.entries()) {
                entries.add(
                        List.of(
                                entry.uid(),
                                entry.host(),
                                entry.port(),
                                entry.zone(),
                                entry.kind(),
                                entry.group(),
                                entry.state(),
                                entry.weight(),
                                entry.startedAt(),
                                entry.primary()));
            }
            fleet.publish(
                    FleetRules.LIST,
                    Map.of(
                            "since",
                            since,
                            "rev",
                            list.version(),
                            "whole",
                            list.whole(),
                            "news",
                            entries));
        }
    }

    private void checkInterval() {
        Duration now = clock.now();
        boolean ownerUsable = relayHealth.goesByOwner(now);
        if (ownerUsable != followsOwner) {
            followsOwner = ownerUsable;
            log.accept(
                    ownerUsable
                            ? "list: goes by the owner, holds " + version
                            : "list: asks discovery itself, holds " + version);
        }
        if (ownerUsable) {
            discovery.stopWatch();
            if (relayHealth.checkDue(now)) {
                relayHealth.checks(now);
                discovery.fetch();
            }
        } else {
            discovery.watch();
        }
        if (fleet != null) {
            // That nothing is new is news as well: only so is a silent owner told from a quiet day.
            fleet.publish(
                    FleetRules.LIST, Map.of("since", version, "rev", version, "whole", false));
        }
        loop.after(checkInterval, this::checkInterval);
    }

    /** What the owner has handed on, on the fleet's thread. */
    void messageReceived(long epoch, Map<String, Object> message) {
        loop.run(
                () -> {
                    try {
                        ownerMessage(epoch, message);
                    } catch (Json.Malformed | ClassCastException | IndexOutOfBoundsException e) {
                        log.accept("list: not taken: " + e.getMessage());
                    }
                });
    }

    private void ownerMessage(long epoch, Map<String, Object> message) {
        long revision = Json.number(message, "rev").longValue();
        boolean whole = Boolean.TRUE.equals(message.get("whole"));
        List<Entry> entries = new ArrayList<>();
        if (message.get("news") instanceof List<?> news) {
            for (Object item : news) {
                List<?> fields = (List<?>) item;
                entries.add(
                        new Entry(
                                (String) fields.get(0),
                                (String) fields.get(1),
                                ((Number) fields.get(2)).intValue(),
                                (String) fields.get(3),
                                (String) fields.get(4),
                                ((Number) fields.get(5)).intValue(),
                                (String) fields.get(6),
                                ((Number) fields.get(7)).doubleValue(),
                                ((Number) fields.get(8)).doubleValue(),
                                (Boolean) fields.get(9)));
            }
        }
        switch (relayHealth.told(
                epoch,
                Json.number(message, "since").longValue(),
                revision,
                whole,
                message.containsKey("news"),
                clock.now())) {
            case TAKE -> {
                version = revision;
                discovery.advanceTo(revision);
                onList.accept(new MemberList(revision, whole, entries));
            }
            case ASK -> discovery.fetch();
            default -> {
                // nothing new
            }
        }
    }
}
