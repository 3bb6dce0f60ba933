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
 * Discovery asked by one driver for all: hands on what the owner finds, takes what is handed on,
 * and follows discovery itself whenever {@link RelayHealth} does not go by the owner. On the loop's
 * thread, but for {@link #message}.
 */
final class ListRelay {
    private final EventLoop loop;
    private final Clock clock;
    private final Discovery discovery;
    private final Consumer<MemberList> learn;
    private final Consumer<String> log;
    private final Duration look;
    private final RelayHealth relayHealth;
    private FleetNode fleet;
    private long version;
    private boolean goesBy;

    ListRelay(
            EventLoop loop,
            Clock clock,
            Discovery discovery,
            FleetConfig rules,
            long known,
            Consumer<MemberList> learn,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.discovery = discovery;
        this.learn = learn;
        this.log = log;
        look = rules.lease().heartbeatInterval().dividedBy(2);
        // Three of the owner's words may be lost; as long may it be behind what is known here.
        relayHealth =
                new RelayHealth(
                        rules.lease().heartbeatInterval().multipliedBy(3),
                        rules.lease().heartbeatInterval().multipliedBy(3),
                        rules.listCheckInterval());
        version = known;
        relayHealth.onDirectFetch(known, clock.now());
    }

    void begin(FleetNode with) {
        fleet = with;
        look();
    }

    /** A list that this driver has found by itself. */
    void found(MemberList list) {
        relayHealth.onDirectFetch(list.version(), clock.now());
        if (list.version() > version) {
            hand(version, list);
            version = list.version();
        }
    }

    private void hand(long since, MemberList list) {
        if (fleet != null) {
            List<Object> entries = new ArrayList<>();
            for (Entry e : list.entries()) {
                entries.add(
                        List.of(
                                e.uid(),
                                e.host(),
                                e.port(),
                                e.zone(),
                                e.kind(),
                                e.group(),
                                e.state(),
                                e.weight(),
                                e.startedAt(),
                                e.primary()));
            }
            fleet.publish(
                    FleetConfig.LIST_DUTY,
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

    private void look() {
        Duration now = clock.now();
        boolean by = relayHealth.trustsOwner(now);
        if (by != goesBy) {
            goesBy = by;
            log.accept(
                    by
                            ? "list: goes by the owner, holds " + version
                            : "list: asks discovery itself, holds " + version);
        }
        if (by) {
            discovery.followNoMore();
            if (relayHealth.isCheckDue(now)) {
                relayHealth.onCheckStarted(now);
                discovery.fetch();
            }
        } else {
            discovery.follow();
        }
        if (fleet != null) {
            // That nothing is new is news as well: only so is a silent owner told from a quiet day.
            fleet.publish(
                    FleetConfig.LIST_DUTY,
                    Map.of("since", version, "rev", version, "whole", false));
        }
        loop.after(look, this::look);
    }

    /** What the owner has handed on, on the fleet's thread. */
    void message(long epoch, Map<String, Object> m) {
        loop.run(
                () -> {
                    try {
                        told(epoch, m);
                    } catch (Json.Malformed | ClassCastException | IndexOutOfBoundsException e) {
                        log.accept("list: not taken: " + e.getMessage());
                    }
                });
    }

    private void told(long epoch, Map<String, Object> m) {
        long rev = Json.number(m, "rev").longValue();
        boolean whole = Boolean.TRUE.equals(m.get("whole"));
        List<Entry> entries = new ArrayList<>();
        if (m.get("news") instanceof List<?> news) {
            for (Object o : news) {
                List<?> l = (List<?>) o;
                entries.add(
                        new Entry(
                                (String) l.get(0),
                                (String) l.get(1),
                                ((Number) l.get(2)).intValue(),
                                (String) l.get(3),
                                (String) l.get(4),
                                ((Number) l.get(5)).intValue(),
                                (String) l.get(6),
                                ((Number) l.get(7)).doubleValue(),
                                ((Number) l.get(8)).doubleValue(),
                                (Boolean) l.get(9)));
            }
        }
        switch (relayHealth.onOwnerUpdate(
                epoch,
                Json.number(m, "since").longValue(),
                rev,
                whole,
                m.containsKey("news"),
                clock.now())) {
            case APPLY -> {
                version = rev;
                discovery.holds(rev);
                learn.accept(new MemberList(rev, whole, entries));
            }
            case FETCH -> discovery.fetch();
            default -> {
                // nothing new
            }
        }
    }
}
