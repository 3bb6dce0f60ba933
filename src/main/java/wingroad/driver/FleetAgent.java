package wingroad.driver;

import java.io.IOException;
import java.util.function.Consumer;
import wingroad.fleet.Fleet;
import wingroad.fleet.FleetRules;
import wingroad.protocol.MemberList;
import wingroad.terms.Terms;
import wingroad.transport.EventLoop;

/**
 * The driver's part in a fleet: what carries out its duties, on the loop's thread. A driver without
 * a fleet loads no class of it.
 */
final class FleetAgent {
    private final Fleet fleet;

    /** Where one driver asks discovery for all, or null. */
    private final MemberListRelay listRelay;

    private FleetAgent(Fleet fleet, MemberListRelay listRelay) {
        this.fleet = fleet;
        this.listRelay = listRelay;
    }

    /**
     * Begins once clients are served. On the loop's thread.
     *
     * @param follows whether discovery's changes are followed; where the list is asked for, each
     *     driver asks for itself
     */
    static FleetAgent start(
            FleetRules rules,
            EventLoop loop,
            Clock clock,
            TxnDispatcher dispatcher,
            DiscoveryClient discoveryClient,
            Configuration configuration,
            boolean watchesDiscovery,
            Consumer<MemberList> onList,
            WorkAgent workAgent,
            Log log)
            throws IOException {
        MemberListRelay listRelay =
                rules.listCheck() == null || !watchesDiscovery
                        ? null
                        : new MemberListRelay(
                                loop,
                                clock,
                                discoveryClient,
                                rules,
                                discoveryClient.heldVersion(),
                                onList,
                                log::info);
        ChoreExecutor choreExecutor =
                new ChoreExecutor(loop, dispatcher, Terms.of(configuration.settings()));
        Fleet fleet =
                Fleet.begin(
                        rules.named(configuration.name()),
                        log::info,
                        log::error,
                        choreExecutor,
                        (epoch, message) -> {
                            if (listRelay != null) {
                                listRelay.messageReceived(epoch, message);
                            }
                        },
                        workAgent);
        choreExecutor.setFleetThread(fleet::run);
        if (listRelay != null) {
            listRelay.start(fleet);
        }
        if (workAgent != null) {
            workAgent.start(fleet);
        }
        return new FleetAgent(fleet, listRelay);
    }

    /** A list that this driver has found by itself. */
    void listFound(MemberList list) {
        if (listRelay != null) {
            listRelay.listFound(list);
        }
    }

    /** Gives all duties back; {@code then} runs on the fleet's thread. */
    void leave(Runnable onLeft) {
        fleet.leave(onLeft);
    }

    void close() {
        fleet.close();
    }
}
