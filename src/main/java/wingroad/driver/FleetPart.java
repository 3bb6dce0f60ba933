package wingroad.driver;

import java.io.IOException;
import java.util.function.Consumer;
import wingroad.fleet.Fleet;
import wingroad.fleet.FleetRules;
import wingroad.protocol.MemberList;
import wingroad.terms.Terms;
import wingroad.transport.EventLoop;

/** The driver's part in a fleet: its duties' desks, on the loop's thread. A driver without a fleet loads no class of it. */
final class FleetPart {
    private final Fleet fleet;
    /** Where one driver asks discovery for all, or null. */
    private final ListDesk lists;

    private FleetPart(Fleet fleet, ListDesk lists) {
        this.fleet = fleet;
        this.lists = lists;
    }

    /**
     * Begins once clients are served. On the loop's thread.
     *
     * @param follows whether discovery's changes are followed; where the list is asked for, each driver asks for itself
     */
    static FleetPart begin(FleetRules rules, EventLoop loop, Clock clock, Exchange exchange, Discovery discovery,
                           Configuration configuration, boolean follows, Consumer<MemberList> learn, WorkDesk work, Log log) throws IOException {
        ListDesk lists = rules.listCheck() == null || !follows ? null
            : new ListDesk(loop, clock, discovery, rules, discovery.holds(), learn, log::line);
        ChoreDesk desk = new ChoreDesk(loop, exchange, Terms.of(configuration.settings()));
        Fleet fleet = Fleet.begin(rules.named(configuration.name()), log::line, log::fault, desk, (epoch, m) -> {
            if (lists != null) {
                lists.message(epoch, m);
            }
        }, work);
        desk.answerOn(fleet::run);
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
