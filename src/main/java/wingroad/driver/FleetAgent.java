package wingroad.driver;

import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetNode;
import wingroad.protocol.MemberList;
import wingroad.terms.RouterSettings;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Connects the driver to its fleet: owns the parts that carry out the driver's duties on the event
 * loop's thread. A driver without a fleet does not load this class.
 */
final class FleetAgent {
    private final FleetNode fleet;

    /** Null if each driver requests the member list itself. */
    private final MemberListRelay listRelay;

    private FleetAgent(FleetNode fleet, MemberListRelay listRelay) {
        this.fleet = fleet;
        this.listRelay = listRelay;
    }

    /**
     * Joins the fleet. Called once clients are served, on the loop's thread.
     *
     * @param watchesDiscovery whether discovery is watched for changes; in pull mode each driver
     *     requests the list itself
     */
    static FleetAgent start(
            FleetConfig fleetConfig,
            EventLoop loop,
            Clock clock,
            TxnDispatcher dispatcher,
            DiscoveryClient discoveryClient,
            LocalEndpoints localEndpoints,
            Configuration configuration,
            boolean watchesDiscovery,
            Consumer<MemberList> onList,
            MaintenanceAgent maintenanceAgent,
            Log log)
            throws IOException {
        MemberListRelay listRelay =
                fleetConfig.listCheckInterval() == null || !watchesDiscovery
                        ? null
                        : new MemberListRelay(
                                loop,
                                clock,
                                discoveryClient,
                                localEndpoints,
                                fleetConfig,
                                discoveryClient.heldVersion(),
                                onList,
                                log::info);
        ChoreExecutor choreExecutor =
                new ChoreExecutor(
                        loop, dispatcher, RouterSettings.fromWire(configuration.settings()));
        FleetNode fleet =
                FleetNode.start(
                        fleetConfig.withDefaultDriver(configuration.name()),
                        log::info,
                        log::error,
                        choreExecutor,
                        (epoch, message) -> {
                            if (listRelay != null) {
                                listRelay.messageReceived(epoch, message);
                            }
                        },
                        maintenanceAgent);
        choreExecutor.setFleetThread(fleet::execute);
        if (listRelay != null) {
            listRelay.start(fleet);
        }
        if (maintenanceAgent != null) {
            maintenanceAgent.start(fleet);
        }
        return new FleetAgent(fleet, listRelay);
    }

    /** Passes on a list that this driver has received from discovery. */
    void listFound(MemberList list) {
        if (listRelay != null) {
            listRelay.listFound(list);
        }
    }

    /** Returns all duties; {@code onLeft} runs on the fleet's thread. */
    void leave(Runnable onLeft) {
        fleet.leave(onLeft);
    }

    void close() {
        fleet.close();
    }
}
