package wingroad.driver;

import wingroad.duty.RelayHealth;
import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetNode;
import wingroad.protocol.Json;
import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;
import wingroad.transport.EventLoop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Distributes member lists within the fleet, so that only one driver, the owner of the list duty,
 * watches discovery. Publishes the lists that this driver finds, applies those that the owner
 * sends, under the endpoints that this driver's own agent gives, and watches discovery itself
 * whenever {@link RelayHealth} does not trust the owner. Runs on the event loop's thread, except
 * for {@link #messageReceived}.
 */
final class MemberListRelay {
    /**
     * For how many heartbeats the owner may be silent, that is, how many of its messages may be
     * lost; for as long it may be behind the version that is known here.
     */
    private static final int TOLERATED_BEATS = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final DiscoveryClient discoveryClient;
    private final LocalEndpoints localEndpoints;
    private final Consumer<MemberList> onList;
    private final Consumer<String> log;
    private final Duration checkInterval;
    private final RelayHealth relayHealth;
    private FleetNode fleet;

    /** The newest list version that was received, from discovery or the owner. */
    private long version;

    /** Lists are taken from the owner; discovery is not watched. */
    private boolean followsOwner;

    MemberListRelay(
            EventLoop loop,
            Clock clock,
            DiscoveryClient discoveryClient,
            LocalEndpoints localEndpoints,
            FleetConfig fleetConfig,
            long knownVersion,
            Consumer<MemberList> onList,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.discoveryClient = discoveryClient;
        this.localEndpoints = localEndpoints;
        this.onList = onList;
        this.log = log;
        checkInterval = fleetConfig.lease().heartbeatInterval().dividedBy(2);
        relayHealth =
                new RelayHealth(
                        fleetConfig.lease().heartbeatInterval().multipliedBy(TOLERATED_BEATS),
                        fleetConfig.lease().heartbeatInterval().multipliedBy(TOLERATED_BEATS),
                        fleetConfig.listCheckInterval());
        version = knownVersion;
        relayHealth.onDirectFetch(knownVersion, clock.now());
    }

    void start(FleetNode joinedFleet) {
        fleet = joinedFleet;
        check();
    }

    /**
     * Takes a list that this driver has received from discovery, and publishes it if it is newer.
     */
    void listFound(MemberList list) {
        relayHealth.onDirectFetch(list.version(), clock.now());
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
                                entry.model(),
                                entry.group(),
                                entry.state(),
                                entry.weight(),
                                entry.startedAtMs(),
                                entry.primary()));
            }
            fleet.publish(
                    FleetConfig.LIST_DUTY,
                    Map.of(
                            "since",
                            since,
                            "rev",
                            list.version(),
                            "whole",
                            list.complete(),
                            "news",
                            entries));
        }
    }

    /** Decides whom to follow, publishes the held version, and schedules the next check. */
    private void check() {
        Duration now = clock.now();
        boolean ownerUsable = relayHealth.trustsOwner(now);
        if (ownerUsable != followsOwner) {
            followsOwner = ownerUsable;
            log.accept(
                    ownerUsable
                            ? "list: follows the owner, version " + version
                            : "list: watches discovery itself, version " + version);
        }
        if (ownerUsable) {
            discoveryClient.stopWatch();
            if (relayHealth.isCheckDue(now)) {
                relayHealth.onCheckStarted(now);
                discoveryClient.fetch();
            }
        } else {
            discoveryClient.watch();
        }
        if (fleet != null) {
            // Published even if nothing is new, so that drivers can tell a silent owner from a list
            // that does not change.
            fleet.publish(
                    FleetConfig.LIST_DUTY,
                    Map.of("since", version, "rev", version, "whole", false));
        }
        loop.schedule(checkInterval, this::check);
    }

    /** Takes a message of the list's owner; called on the fleet's thread. */
    void messageReceived(long epoch, Map<String, Object> message) {
        loop.execute(
                () -> {
                    try {
                        ownerMessage(epoch, message);
                    } catch (Json.MalformedJsonException
                            | ClassCastException
                            | IndexOutOfBoundsException e) {
                        log.accept("list: invalid message of the owner: " + e.getMessage());
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
        switch (relayHealth.onOwnerUpdate(
                epoch,
                Json.number(message, "since").longValue(),
                revision,
                whole,
                message.containsKey("news"),
                clock.now())) {
            case APPLY -> applyRelayed(epoch, new MemberList(revision, whole, entries));
            case FETCH -> discoveryClient.fetch();
            default -> {
                // nothing new
            }
        }
    }

    /**
     * Applies a list of the owner under this driver's own endpoints. The own agent is asked for
     * what the owner can't know, again at each of the owner's heartbeats until it has answered with
     * that version.
     */
    private void applyRelayed(long epoch, MemberList relayed) {
        LocalEndpoints.Translation translation = localEndpoints.translate(epoch, relayed);
        if (translation.complete()) {
            version = relayed.version();
            relayHealth.onApplied(version);
            discoveryClient.advanceTo(version);
        } else {
            log.accept(
                    "list: version "
                            + relayed.version()
                            + " of the owner has members whose endpoint is unknown here, asking"
                            + " discovery");
            discoveryClient.fetch();
        }
        onList.accept(translation.list());
    }
}
