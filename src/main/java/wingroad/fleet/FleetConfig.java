package wingroad.fleet;

import wingroad.duty.Lease;
import wingroad.work.MaintenanceSettings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What the operator's file says of the fleet.
 *
 * @param name the fleet's; another fleet's drivers are refused
 * @param driver this driver's name in it
 * @param listenAddress where it listens for others, or null: it never votes
 * @param voterAddresses those that found the council, by name, each with the address at which this
 *     driver reaches it
 * @param stateFolder the folder for what must outlive the process
 * @param chores statements that one driver runs for all
 * @param listCheckInterval how often a driver asks discovery that goes by the list's owner, or
 *     null: each asks for itself
 * @param maintenance machines that may be taken out for work, or null: none are
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
    /** The duty of asking discovery for all. */
    public static final String LIST_DUTY = "list";

    /** The same without work on machines. */
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

    /** A statement for the primary of a group, once in each span. */
    public record Chore(String name, Duration interval, int group, String statement) {
        /** The duty that stands for it. */
        public String duty() {
            return "chore " + name;
        }
    }

    /** The duties that this driver would do. */
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

    /** The same for a driver of this name where the file gives it none. */
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

    /** The same with these rules of work. */
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
