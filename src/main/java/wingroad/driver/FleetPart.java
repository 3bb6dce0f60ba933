package wingroad.driver;

import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetNode;
import wingroad.protocol.MemberList;
import wingroad.terms.RouterSettings;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * The driver's part in a fleet: what carries out its duties, on the loop's thread. A driver without
 * a fleet loads no class of it.
 */
final class FleetPart {
    private final FleetNode fleet;

    /** Where one driver asks discovery for all, or null. */
    private final ListRelay lists;

    private FleetPart(FleetNode fleet, ListRelay lists) {
        this.fleet = fleet;
        this.lists = lists;
    }

    /**
     * Begins once clients are served. On the loop's thread.
     *
     * @param follows whether discovery's changes are followed; where the list is asked for, each
     *     driver asks for itself
     */
    static FleetPart begin(
            FleetConfig rules,
            EventLoop loop,
            Clock clock,
            Exchange exchange,
            Discovery discovery,
            Configuration configuration,
            boolean follows,
            Consumer<MemberList> learn,
            WorkAgent work,
            Log log)
            throws IOException {
        ListRelay lists =
                rules.listCheckInterval() == null || !follows
                        ? null
                        : new ListRelay(
                                loop, clock, discovery, rules, discovery.holds(), learn, log::line);
        ChoreExecutor chores =
                new ChoreExecutor(
                        loop, exchange, RouterSettings.fromWire(configuration.settings()));
        FleetNode fleet =
                FleetNode.start(
                        rules.withDefaultDriver(configuration.name()),
                        log::line,
                        log::fault,
                        chores,
                        (epoch, m) -> {
                            if (lists != null) {
                                lists.message(epoch, m);
                            }
                        },
                        work);
        chores.answerOn(fleet::execute);
        if (lists != null) {
            lists.begin(fleet);
        }
        if (work != null) {
            work.begin(fleet);
        }
        return new FleetPart(fleet, lists);
    }

    /** A list that this driver has found by itself. */
    void found(MemberList list) {
        if (lists != null) {
            lists.found(list);
        }
    }

    /** Gives all duties back; {@code then} runs on the fleet's thread. */
    void leave(Runnable then) {
        fleet.leave(then);
    }

    void close() {
        fleet.close();
    }
}
