package wingroad.fleet;

import wingroad.duty.Lease;
import wingroad.work.MaintenanceSettings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The fleet's configuration from the operator's file.
 *
 * @param name the fleet's name; drivers of another fleet are refused
 * @param driver this driver's name in the fleet; empty: to be set by {@link #withDefaultDriver}
 * @param listenAddress address to listen on for other drivers, or null: this driver is never a
 *     voter
 * @param voterAddresses the founding voters by name, each with the address at which this driver
 *     reaches it
 * @param stateFolder folder for durable state
 * @param lease timing of sessions and their leases
 * @param chores periodic statements that one driver runs for all
 * @param listCheckInterval how often a driver that uses the list owner's member list asks discovery
 *     itself, or null: each driver asks discovery on its own
 * @param maintenance settings for taking machines out for maintenance, or null: none
 */
public record FleetConfig(
        String name,
        String driver,
        String listenAddress,
        Map<String, String> voterAddresses,
        Path stateFolder,
        Lease lease,
        List<Chore> chores,
        Duration listCheckInterval,
        MaintenanceSettings maintenance) {
    /** The duty of reading the member list from discovery for all drivers. */
    public static final String LIST_DUTY = "list";

    /** Creates a configuration without maintenance. */
    public FleetConfig(
            String name,
            String driver,
            String listenAddress,
            Map<String, String> voterAddresses,
            Path stateFolder,
            Lease lease,
            List<Chore> chores,
            Duration listCheckInterval) {
        this(
                name,
                driver,
                listenAddress,
                voterAddresses,
                stateFolder,
                lease,
                chores,
                listCheckInterval,
                null);
    }

    /** A statement that is run periodically on the primary of a group. */
    public record Chore(String name, Duration interval, int group, String statement) {
        /** The name of the chore's duty. */
        public String duty() {
            return "chore " + name;
        }
    }

    /** The duties that this driver is willing to own. */
    public List<String> duties() {
        List<String> duties = new ArrayList<>(chores.stream().map(Chore::duty).toList());
        if (listCheckInterval != null) {
            duties.add(LIST_DUTY);
        }
        if (maintenance != null) {
            duties.add(MaintenanceSettings.CONTROLLER_DUTY);
        }
        return duties;
    }

    /** Returns this configuration with the given driver name if it has none. */
    public FleetConfig withDefaultDriver(String defaultDriver) {
        return driver.isEmpty()
                ? new FleetConfig(
                        this.name,
                        defaultDriver,
                        listenAddress,
                        voterAddresses,
                        stateFolder,
                        lease,
                        chores,
                        listCheckInterval,
                        maintenance)
                : this;
    }

    /** Returns this configuration with the given maintenance settings. */
    public FleetConfig withMaintenance(MaintenanceSettings newMaintenance) {
        return new FleetConfig(
                name,
                driver,
                listenAddress,
                voterAddresses,
                stateFolder,
                lease,
                chores,
                listCheckInterval,
                newMaintenance);
    }
}
