package wingroad.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The replicated maintenance plan: which machines are requested for maintenance, which stage each
 * has reached, and which drivers have confirmed it. It is part of the replicated state, so it reads
 * no clock, uses no randomness and iterates in order of names. It refuses every step that would
 * break a limit, whoever proposes it.
 */
public class MaintenancePlan {
    private static final int MAX_REQUESTS = 4096;
    private static final int MAX_LOST_DRIVERS = 1024;

    /** Identity and name of the entry that stands for all lost drivers beyond the limit. */
    private static final String OVERFLOW_IDENTITY = "many";

    private static final int MAX_HISTORY_LINES = 4096;

    /** Drivers that are further behind than so many removals are sent the whole plan. */
    private static final int MAX_REMOVALS = 1024;

    private static final int MAX_TEXT_CHARS = 200;

    /** The machine name in operator's commands and history lines that concern all machines. */
    public static final String ALL_MACHINES = "*";

    /**
     * A machine requested for maintenance, and its stage. Fields are written by position in {@link
     * #toValues}.
     */
    public static final class Entry {
        final String machine;
        final String requestId;
        final String reason;
        final long durationMs;
        final long deadlineMs;
        final List<String> afterMachines;
        final long requestedAtMs;
        final long requestNumber;
        MaintenanceStage stage = MaintenanceStage.ASKED;

        /** Revision of the plan at which the machine was announced. */
        long announcedRevision;

        /** Revision of the plan at which the stage changed last. */
        long stageRevision;

        /**
         * Wall clock of the last stage change or operator's command in Unix milliseconds, for
         * display.
         */
        long changedAtMs;

        /**
         * Wall clock when the machine became {@link MaintenanceStage#OUT}, in Unix milliseconds.
         */
        long outSinceMs;

        /** Whether an operator has put this machine on hold. */
        boolean held;

        /** Derived: every driver has confirmed that it knows of the announcement. */
        boolean confirmedByAll;

        /**
         * Derived: no driver has anything left at the machine, as confirmed or certain by the
         * voters' clocks.
         */
        boolean drained;

        /** Derived: no driver reports a member on the machine as the primary of its group. */
        boolean noPrimaryReported;

        /** What the machine waits for, as the controller says. */
        String note = "";

        /** Number of the entry's last change, see {@link #changeNumber()}. */
        long lastChange;

        Entry(
                String machine,
                String requestId,
                String reason,
                long durationMs,
                long deadlineMs,
                List<String> afterMachines,
                long requestedAtMs,
                long requestNumber) {
            this.machine = machine;
            this.requestId = requestId;
            this.reason = reason;
            this.durationMs = durationMs;
            this.deadlineMs = deadlineMs;
            this.afterMachines = List.copyOf(afterMachines);
            this.requestedAtMs = requestedAtMs;
            this.requestNumber = requestNumber;
        }

        public String machine() {
            return machine;
        }

        public MaintenanceStage stage() {
            return stage;
        }

        public String note() {
            return note;
        }

        /**
         * Returns the fields of the status page.
         *
         * @param waitReason what the machine waits for
         */
        public Map<String, Object> statusFields(String waitReason) {
            Map<String, Object> fields = new TreeMap<>();
            fields.put("machine", machine);
            fields.put("stage", stage.name().toLowerCase(java.util.Locale.ROOT));
            fields.put("why", reason);
            fields.put("for-ms", durationMs);
            fields.put("before", deadlineMs);
            fields.put("after", afterMachines);
            fields.put("asked", requestedAtMs);
            fields.put("since", changedAtMs);
            fields.put("out-since", outSinceMs);
            fields.put("held", held);
            fields.put("waits", waitReason);
            return fields;
        }

        /**
         * Returns the entry as plain values, for drivers and snapshots. Order and number of the
         * values are part of the message and snapshot formats.
         */
        public List<Object> toValues() {
            return List.of(
                    machine,
                    requestId,
                    reason,
                    durationMs,
                    deadlineMs,
                    afterMachines,
                    requestedAtMs,
                    requestNumber,
                    stage.name(),
                    announcedRevision,
                    stageRevision,
                    changedAtMs,
                    outSinceMs,
                    held,
                    confirmedByAll,
                    drained,
                    noPrimaryReported,
                    note,
                    lastChange);
        }

        /** Reads what {@link #toValues} has written. */
        public static Entry fromValues(List<?> values) {
            List<String> afterMachines = new ArrayList<>();
            ((List<?>) values.get(5))
                    .forEach(predecessor -> afterMachines.add((String) predecessor));
            Entry entry =
                    new Entry(
                            (String) values.get(0),
                            (String) values.get(1),
                            (String) values.get(2),
                            number(values.get(3)),
                            number(values.get(4)),
                            afterMachines,
                            number(values.get(6)),
                            number(values.get(7)));
            entry.stage = MaintenanceStage.valueOf((String) values.get(8));
            entry.announcedRevision = number(values.get(9));
            entry.stageRevision = number(values.get(10));
            entry.changedAtMs = number(values.get(11));
            entry.outSinceMs = number(values.get(12));
            entry.held = (Boolean) values.get(13);
            entry.confirmedByAll = (Boolean) values.get(14);
            entry.drained = (Boolean) values.get(15);
            entry.noPrimaryReported = (Boolean) values.get(16);
            entry.note = (String) values.get(17);
            entry.lastChange = number(values.get(18));
            return entry;
        }
    }

    /** A driver that has lost its session and whose process may still run. */
    public static final class LostDriver {
        final String identity;
        final String name;
        final long planRevision;
        final long lossNumber;

        /**
         * Whether the driver has announced that it is exiting; its process ends within the maximum
         * time that an exit takes.
         */
        final boolean exiting;

        /**
         * 0: recently lost; 1: it certainly has nothing left on the machines that it knew to be
         * announced.
         */
        int stoppedLevel;

        LostDriver(
                String identity, String name, long planRevision, long lossNumber, boolean exiting) {
            this.identity = identity;
            this.name = name;
            this.planRevision = planRevision;
            this.lossNumber = lossNumber;
            this.exiting = exiting;
        }

        public boolean exiting() {
            return exiting;
        }

        public String identity() {
            return identity;
        }

        /** Returns a name that distinguishes it from another lost driver of the same name. */
        public String displayName() {
            return name + "/" + identity;
        }

        public String name() {
            return name;
        }

        public long lossNumber() {
            return lossNumber;
        }

        public int stoppedLevel() {
            return stoppedLevel;
        }
    }

    /** A driver with a session, and its newest report. */
    private static final class ConnectedDriver {
        final String identity;
        final String name;
        DriverReport report = DriverReport.EMPTY;

        ConnectedDriver(String identity, String name) {
            this.identity = identity;
            this.name = name;
        }
    }

    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /**
     * The entries by the number of their last change. Each driver asks for what is new after each
     * change, so this must not take a scan.
     */
    private final TreeMap<Long, Entry> entriesByChange = new TreeMap<>();

    private final TreeMap<String, ConnectedDriver> connectedDrivers = new TreeMap<>();
    private final TreeMap<String, LostDriver> lostDrivers = new TreeMap<>();

    /** Machines removed from the plan with the number of the change, oldest first. */
    private final ArrayDeque<Object[]> removals = new ArrayDeque<>();

    private final ArrayDeque<String> history = new ArrayDeque<>();
    private List<String> inventoryLines = List.of();
    private long inventoryChange;
    private int maxConcurrent = 1;
    private MaintenanceSettings.LostViewPolicy lostViewPolicy =
            MaintenanceSettings.LostViewPolicy.STEADY;
    private boolean held;
    private long revision;
    private long changeNumber;
    private long requestCount;
    private long lossCount;

    public Collection<Entry> entries() {
        return entries.values();
    }

    public Entry entry(String machine) {
        return entries.get(machine);
    }

    public Collection<LostDriver> lostDrivers() {
        return lostDrivers.values();
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    public MaintenanceSettings.LostViewPolicy lostViewPolicy() {
        return lostViewPolicy;
    }

    /** Returns whether an operator has put all machines on hold. */
    public boolean held() {
        return held;
    }

    /** Returns the revision of the plan, which counts the changes that drivers must confirm. */
    public long revision() {
        return revision;
    }

    /** Returns the number of the last change, which counts everything that drivers are sent. */
    public long changeNumber() {
        return changeNumber;
    }

    public Collection<String> history() {
        return history;
    }

    // ---- sessions of drivers ----

    /**
     * Records that a driver has opened a session. If it had another one, that one's process has
     * ended or is the same.
     */
    public void sessionOpened(String session, String identity, String name) {
        lostDrivers.remove(identity);
        connectedDrivers.put(session, new ConnectedDriver(identity, name));
        updateConfirmations();
    }

    /**
     * Records that a session has ended. Its process may still run, so the driver counts as lost
     * until it has certainly stopped.
     *
     * @param exiting whether the driver closed the session itself
     */
    public void sessionEnded(String session, boolean exiting) {
        ConnectedDriver driver = connectedDrivers.remove(session);
        if (driver != null) {
            // Beyond any possible number of drivers, one entry stands for all others; with it no
            // machine goes out until an operator has looked into it.
            boolean hasRoom =
                    lostDrivers.size() < MAX_LOST_DRIVERS
                            || lostDrivers.containsKey(driver.identity);
            String identity = hasRoom ? driver.identity : OVERFLOW_IDENTITY;
            lostDrivers.put(
                    identity,
                    new LostDriver(
                            identity,
                            hasRoom ? driver.name : OVERFLOW_IDENTITY,
                            hasRoom ? driver.report.planRevision() : 0,
                            ++lossCount,
                            hasRoom && exiting));
        }
        updateConfirmations();
    }

    /**
     * Records what is certain of a lost driver by the voters' clocks. Returns an empty string, or
     * why it does not count.
     *
     * @param stoppedLevel 1: nothing of it is left on machines that it knew to be announced; 2:
     *     nothing at all
     */
    public String driverStopped(String identity, long lossNumber, long stoppedLevel) {
        LostDriver lostDriver = lostDrivers.get(identity);
        if (lostDriver == null || lostDriver.lossNumber != lossNumber) {
            return "not lost, or lost anew";
        }
        if (stoppedLevel >= 2) {
            lostDrivers.remove(identity);
        } else {
            lostDriver.stoppedLevel = 1;
        }
        updateConfirmations();
        return "";
    }

    /** Records reports of drivers, one line each; those without a session are ignored. */
    public String applyReports(List<String> lines) {
        for (String line : lines) {
            ConnectedDriver driver = connectedDrivers.get(DriverReport.sessionOf(line));
            if (driver != null) {
                driver.report = DriverReport.parse(line);
            }
        }
        updateConfirmations();
        return "";
    }

    // ---- requests and operators' commands ----

    /**
     * Replaces machines and limits by those of the controller's file. Returns an empty string, or
     * why it is refused: a machine under maintenance must not change.
     *
     * @param lines see {@link MaintenanceSettings#toLines}
     */
    public String applyInventory(List<String> lines) {
        if (lines.equals(inventoryLines)) {
            return "";
        }
        String[] limits = lines.get(0).split(" ");
        TreeMap<String, Machine> newMachines = new TreeMap<>();
        lines.stream()
                .skip(1)
                .map(Machine::parse)
                .forEach(machine -> newMachines.put(machine.name(), machine));
        for (Entry entry : entries.values()) {
            if (entry.stage.announced()
                    && !machines.get(entry.machine).equals(newMachines.get(entry.machine))) {
                return entry.machine
                        + " is on its way, and the file has changed it: not before it is in";
            }
        }
        entries.values()
                .removeIf(
                        entry -> {
                            boolean removed = !newMachines.containsKey(entry.machine);
                            if (removed) {
                                recordRemoval(entry);
                            }
                            return removed;
                        });
        maxConcurrent = Integer.parseInt(limits[0]);
        lostViewPolicy = MaintenanceSettings.LostViewPolicy.valueOf(limits[1]);
        machines.clear();
        machines.putAll(newMachines);
        inventoryLines = List.copyOf(lines);
        revision++;
        inventoryChange = ++changeNumber;
        updateConfirmations();
        return "";
    }

    /**
     * Adds a request for a machine. Returns an empty string, or why it is refused.
     *
     * @param durationMs how long the machine is expected to be out, or 0
     * @param deadlineMs Unix time in milliseconds before which it must be out, or 0
     * @param afterMachines machines that must be back in service before
     */
    public String addRequest(
            String machine,
            String requestId,
            String reason,
            long durationMs,
            long deadlineMs,
            List<String> afterMachines,
            long proposedAtMs) {
        Machine requestedMachine = machines.get(machine);
        if (requestedMachine == null) {
            return machines.isEmpty()
                    ? "no machines are settled yet: is there a conductor?"
                    : "there is no machine '" + machine + "'";
        }
        Entry existing = entries.get(machine);
        if (existing != null) {
            return existing.requestId.equals(requestId)
                    ? ""
                    : "'"
                            + machine
                            + "' is "
                            + existing.stage.name().toLowerCase(java.util.Locale.ROOT)
                            + " already: "
                            + existing.reason;
        }
        if (entries.size() >= MAX_REQUESTS) {
            return "more than " + MAX_REQUESTS + " machines are asked for";
        }
        if (deadlineMs > 0 && deadlineMs <= proposedAtMs) {
            return "the time before which it is wanted has passed";
        }
        for (int group : requestedMachine.groups()) {
            if (requestedMachine.members().stream()
                            .filter(member -> member.group() == group)
                            .count()
                    > 1) {
                return "it holds more than one member of group "
                        + group
                        + ": no two of a group are away together";
            }
            if (machines.values().stream()
                    .noneMatch(
                            other ->
                                    !other.name().equals(machine)
                                            && other.groups().contains(group))) {
                return "it holds the only member of group " + group;
            }
        }
        for (String predecessor : afterMachines) {
            if (!machines.containsKey(predecessor)) {
                return "there is no machine '" + predecessor + "' to come after";
            }
            if (predecessor.equals(machine) || comesAfter(predecessor, machine, new HashSet<>())) {
                return "'" + predecessor + "' comes after '" + machine + "' itself";
            }
        }
        Entry entry =
                new Entry(
                        machine,
                        requestId,
                        truncate(reason),
                        durationMs,
                        deadlineMs,
                        afterMachines,
                        proposedAtMs,
                        ++requestCount);
        entries.put(machine, entry);
        recordMove(entry, proposedAtMs, "asked: " + entry.reason);
        updateConfirmations();
        return "";
    }

    private boolean comesAfter(String first, String second, Set<String> visited) {
        Entry entry = entries.get(first);
        return entry != null
                && visited.add(first)
                && entry.afterMachines.stream()
                        .anyMatch(
                                predecessor ->
                                        predecessor.equals(second)
                                                || comesAfter(predecessor, second, visited));
    }

    /**
     * Applies an operator's command to a machine, or to {@link #ALL_MACHINES}. Returns an empty
     * string, or why it is refused.
     *
     * @param command {@code hold}, {@code go}, {@code done}, {@code back}, {@code cancel} or {@code
     *     gone}; the last one names a lost driver in place of a machine
     */
    public String applyOperatorCommand(String command, String machine, long proposedAtMs) {
        if (command.equals("gone")) {
            return lostDrivers
                            .values()
                            .removeIf(
                                    lostDriver ->
                                            lostDriver.name.equals(machine)
                                                    || lostDriver.displayName().equals(machine))
                    ? updateAndAccept()
                    : "no driver '" + machine + "' is waited for without a session";
        }
        if (machine.equals(ALL_MACHINES)) {
            return applyToAll(command, proposedAtMs);
        }
        Entry entry = entries.get(machine);
        if (entry == null) {
            return machines.containsKey(machine)
                    ? command.equals("done") || command.equals("back")
                            ? ""
                            : "'" + machine + "' is not asked for"
                    : "there is no machine '" + machine + "'";
        }
        boolean out =
                entry.stage == MaintenanceStage.OUT || entry.stage == MaintenanceStage.RETURNING;
        switch (command) {
            case "hold" -> {
                entry.held = true;
                putBack(entry, proposedAtMs, "held");
                recordMove(entry, proposedAtMs, "held");
            }
            case "go" -> {
                entry.held = false;
                recordMove(entry, proposedAtMs, "goes on");
            }
            case "done", "back" -> {
                if (entry.stage == MaintenanceStage.OUT) {
                    moveTo(
                            entry,
                            MaintenanceStage.RETURNING,
                            proposedAtMs,
                            command.equals("done") ? "work is done" : "called back");
                } else if (entry.stage == MaintenanceStage.DRAINING && command.equals("back")
                        || !out && command.equals("back")) {
                    withdraw(entry, proposedAtMs, "called back");
                } else if (!out) {
                    return "'" + machine + "' is not out yet";
                }
            }
            case "cancel" -> {
                if (out) {
                    return "'" + machine + "' is out: 'done' or 'back' brings it back";
                }
                withdraw(entry, proposedAtMs, "cancelled");
            }
            default -> {
                return "no word '" + command + "'";
            }
        }
        return updateAndAccept();
    }

    private String applyToAll(String command, long proposedAtMs) {
        if (!command.equals("hold") && !command.equals("go")) {
            return "'" + command + "' needs a machine";
        }
        held = command.equals("hold");
        revision++;
        changeNumber++;
        addHistory(proposedAtMs, ALL_MACHINES, held ? "all held" : "all go on");
        if (held) {
            entries.values().forEach(entry -> putBack(entry, proposedAtMs, "all held"));
        }
        return updateAndAccept();
    }

    /** Returns an announced or draining machine to the waiting requests. */
    private void putBack(Entry entry, long proposedAtMs, String reason) {
        if (entry.stage == MaintenanceStage.PLANNED || entry.stage == MaintenanceStage.DRAINING) {
            moveTo(entry, MaintenanceStage.ASKED, proposedAtMs, reason);
        }
    }

    private void withdraw(Entry entry, long proposedAtMs, String reason) {
        addHistory(proposedAtMs, entry.machine, reason);
        entries.remove(entry.machine);
        recordRemoval(entry);
    }

    private void recordRemoval(Entry entry) {
        entriesByChange.remove(entry.lastChange);
        revision++;
        changeNumber++;
        removals.add(new Object[] {entry.machine, changeNumber});
        if (removals.size() > MAX_REMOVALS) {
            removals.poll();
        }
    }

    // ---- the controller's steps ----

    /**
     * Applies a step of the controller, whose epoch has been checked. Returns an empty string, or
     * why it is refused.
     *
     * @param target a stage, {@code IN} (back in service) or {@code note} (only the note changes)
     * @param stageRevision the machine's stage revision that the controller knew
     * @param ownsNoDuty whether no driver on the machine owns a duty
     */
    public String applyStep(
            String machine,
            String target,
            long stageRevision,
            String reason,
            boolean ownsNoDuty,
            long proposedAtMs) {
        Entry entry = entries.get(machine);
        if (entry == null || entry.stageRevision != stageRevision) {
            return "'" + machine + "' has moved on";
        }
        if (target.equals("note")) {
            if (!entry.note.equals(truncate(reason))) {
                entry.note = truncate(reason);
                markChanged(entry);
            }
            return "";
        }
        String refusal =
                switch (target) {
                    case "ASKED" ->
                            entry.stage == MaintenanceStage.PLANNED
                                            || entry.stage == MaintenanceStage.DRAINING
                                    ? ""
                                    : "it can't be put back";
                    case "PLANNED" ->
                            entry.stage != MaintenanceStage.ASKED
                                    ? "it is not waiting"
                                    : planningBlocker(entry);
                    case "DRAINING" ->
                            entry.stage != MaintenanceStage.PLANNED
                                    ? "it is not planned"
                                    : entry.held || held
                                            ? "held"
                                            : !entry.confirmedByAll
                                                    ? "not everybody knows of it"
                                                    : !entry.noPrimaryReported
                                                            ? "somebody believes its member to be"
                                                                    + " primary"
                                                            : "";
                    case "OUT" ->
                            entry.stage != MaintenanceStage.DRAINING
                                    ? "it does not drain"
                                    : !entry.drained
                                            ? "not everybody has left it"
                                            : ownsNoDuty ? "" : "a driver on it has a duty";
                    case "IN" ->
                            entry.stage == MaintenanceStage.RETURNING ? "" : "it does not return";
                    default -> "no stage '" + target + "'";
                };
        if (!refusal.isEmpty()) {
            return refusal;
        }
        if (target.equals("IN")) {
            withdraw(entry, proposedAtMs, "in: " + truncate(reason));
        } else {
            moveTo(entry, MaintenanceStage.valueOf(target), proposedAtMs, truncate(reason));
        }
        return updateAndAccept();
    }

    /** Returns why a machine may not be announced now, or an empty string. */
    private String planningBlocker(Entry entry) {
        Machine machine = machines.get(entry.machine);
        int awayCount = 0;
        for (Entry otherEntry : entries.values()) {
            if (otherEntry.stage.announced()) {
                awayCount++;
                Machine otherMachine = machines.get(otherEntry.machine);
                if (!otherMachine.zone().equals(machine.zone())) {
                    return "zone " + otherMachine.zone() + " is worked on";
                }
                if (otherMachine.sharesGroup(machine)) {
                    return "it shares a group with " + otherEntry.machine;
                }
            }
            if (entry.afterMachines.contains(otherEntry.machine)) {
                return "it comes after " + otherEntry.machine;
            }
        }
        return entry.held || held
                ? "held"
                : awayCount >= maxConcurrent
                        ? "there are " + awayCount + " on their way, at most " + maxConcurrent
                        : "";
    }

    /** Moves an entry to a stage; the confirmations of the former one no longer count. */
    private void moveTo(Entry entry, MaintenanceStage target, long proposedAtMs, String reason) {
        entry.stage = target;
        entry.note = "";
        recordMove(
                entry,
                proposedAtMs,
                target.name().toLowerCase(java.util.Locale.ROOT) + ": " + reason);
        entry.stageRevision = revision;
        entry.announcedRevision =
                target == MaintenanceStage.PLANNED ? revision : entry.announcedRevision;
        entry.outSinceMs = target == MaintenanceStage.OUT ? proposedAtMs : entry.outSinceMs;
        entry.confirmedByAll = false;
        entry.drained = false;
    }

    private void recordMove(Entry entry, long proposedAtMs, String text) {
        revision++;
        markChanged(entry);
        entry.changedAtMs = proposedAtMs;
        if (entry.stageRevision == 0) {
            entry.stageRevision = revision;
        }
        addHistory(proposedAtMs, entry.machine, text);
    }

    private void markChanged(Entry entry) {
        entriesByChange.remove(entry.lastChange);
        entry.lastChange = ++changeNumber;
        entriesByChange.put(entry.lastChange, entry);
    }

    private void addHistory(long proposedAtMs, String machine, String text) {
        history.add(proposedAtMs + " " + machine + " " + text);
        if (history.size() > MAX_HISTORY_LINES) {
            history.poll();
        }
    }

    private static String truncate(String text) {
        return text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
    }

    // ---- derived state ----

    private String updateAndAccept() {
        updateConfirmations();
        return "";
    }

    private void updateConfirmations() {
        for (Entry entry : entries.values()) {
            boolean confirmedByAll =
                    entry.stage.announced() && mayProceedWithout(unconfirmedDrivers(entry));
            boolean drained =
                    entry.stage == MaintenanceStage.DRAINING
                            && mayProceedWithout(undrainedDrivers(entry));
            // Skipped for requests that only wait, of which there may be a thousand.
            boolean noPrimaryReported =
                    entry.stage.announced()
                            && connectedDrivers.values().stream()
                                    .noneMatch(
                                            driver ->
                                                    reportsPrimaryOn(
                                                            driver.report,
                                                            machines.get(entry.machine)));
            if (confirmedByAll != entry.confirmedByAll
                    || drained != entry.drained
                    || noPrimaryReported != entry.noPrimaryReported) {
                entry.confirmedByAll = confirmedByAll;
                entry.drained = drained;
                entry.noPrimaryReported = noPrimaryReported;
                markChanged(entry);
            }
        }
    }

    /**
     * Returns whether a step may proceed without the confirmation of these drivers: only if there
     * are none.
     */
    protected boolean mayProceedWithout(Set<String> missing) {
        return missing.isEmpty();
    }

    /** Returns whether the report names a member on the machine as primary. */
    private static boolean reportsPrimaryOn(DriverReport report, Machine machine) {
        return machine != null
                && machine.members().stream()
                        .anyMatch(
                                member ->
                                        report.primaries().containsKey(member.group())
                                                && member.matches(
                                                        report.primaries().get(member.group())));
    }

    /** Returns the drivers that have not confirmed the announcement of the machine. */
    public Set<String> unconfirmedDrivers(Entry entry) {
        Set<String> unconfirmed = new TreeSet<>();
        connectedDrivers.values().stream()
                .filter(driver -> driver.report.planRevision() < entry.announcedRevision)
                .forEach(driver -> unconfirmed.add(driver.name));
        lostDrivers.values().stream()
                .filter(lostDriver -> lostDriver.planRevision < entry.announcedRevision)
                .forEach(lostDriver -> unconfirmed.add(lostDriver.name + " (without a session)"));
        return unconfirmed;
    }

    /** Returns the number of drivers with a session. */
    protected int sessionCount() {
        return connectedDrivers.size();
    }

    /** Returns the drivers that may still have something at a draining machine. */
    public Set<String> undrainedDrivers(Entry entry) {
        Set<String> undrained = new TreeSet<>();
        connectedDrivers.values().stream()
                .filter(
                        driver ->
                                driver.report.planRevision() < entry.stageRevision
                                        || !driver.report.drainedMachines().contains(entry.machine))
                .forEach(driver -> undrained.add(driver.name));
        lostDrivers.values().stream()
                .filter(
                        lostDriver ->
                                lostDriver.stoppedLevel < 1
                                        || lostDriver.planRevision < entry.announcedRevision)
                .forEach(lostDriver -> undrained.add(lostDriver.name + " (without a session)"));
        return undrained;
    }

    /** Returns what a machine waits for, for display. */
    public String waitReason(Entry entry) {
        if (entry.held || held) {
            return "held";
        }
        return switch (entry.stage) {
            case ASKED -> {
                String blocker = planningBlocker(entry);
                yield blocker.isEmpty() ? entry.note : blocker;
            }
            case PLANNED ->
                    entry.confirmedByAll
                            ? entry.note
                            : "to be confirmed by: " + unconfirmedDrivers(entry);
            case DRAINING ->
                    entry.drained ? entry.note : "to be drained by: " + undrainedDrivers(entry);
            default -> entry.note;
        };
    }

    /** Returns whether a driver runs on a machine that drains or is out, and so gets no duties. */
    public boolean isOnDrainingMachine(String driver) {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                entry.stage != MaintenanceStage.ASKED
                                        && entry.stage != MaintenanceStage.PLANNED
                                        && entry.stage != MaintenanceStage.RETURNING
                                        && machines.get(entry.machine).drivers().contains(driver));
    }

    /**
     * Returns the sums of all drivers' reports: txns served, txns harmed, and milliseconds at
     * members by group.
     */
    public List<Object> totals() {
        long servedCount = 0;
        long harmedCount = 0;
        TreeMap<String, Long> busyMsByGroup = new TreeMap<>();
        for (ConnectedDriver driver : connectedDrivers.values()) {
            servedCount += driver.report.servedCount();
            harmedCount += driver.report.harmedCount();
            driver.report
                    .busyMsByGroup()
                    .forEach(
                            (group, busyMs) ->
                                    busyMsByGroup.merge(
                                            Integer.toString(group), busyMs, Long::sum));
        }
        return List.of(servedCount, harmedCount, busyMsByGroup);
    }

    /**
     * Returns what has changed since a change number, as a message for drivers; the complete plan
     * if that is too long ago.
     */
    public Map<String, Object> changesSince(long sinceChange) {
        Map<String, Object> changes = new TreeMap<>();
        boolean complete =
                sinceChange <= 0
                        || !removals.isEmpty()
                                && removals.size() >= MAX_REMOVALS
                                && (long) removals.peek()[1] > sinceChange;
        changes.put("whole", complete);
        changes.put("rev", revision);
        changes.put("held", held);
        changes.put(
                "entries",
                (complete ? entries : entriesByChange.tailMap(sinceChange, false))
                        .values().stream().map(Entry::toValues).toList());
        changes.put(
                "gone",
                complete
                        ? List.of()
                        : removals.stream()
                                .filter(
                                        removal ->
                                                (long) removal[1] > sinceChange
                                                        && !entries.containsKey(
                                                                (String) removal[0]))
                                .map(removal -> removal[0])
                                .toList());
        if (complete || inventoryChange > sinceChange) {
            changes.put("lines", inventoryLines);
        }
        return changes;
    }

    // ---- snapshots ----

    /** Returns the whole state as plain values, for a snapshot. */
    public Map<String, Object> snapshot() {
        Map<String, Object> state = new TreeMap<>();
        state.put("lines", inventoryLines);
        state.put(
                "figures",
                List.of(revision, changeNumber, requestCount, lossCount, inventoryChange, held));
        state.put("entries", entries.values().stream().map(Entry::toValues).toList());
        List<Object> connected = new ArrayList<>();
        connectedDrivers.forEach(
                (sessionId, driver) ->
                        connected.add(
                                List.of(
                                        sessionId,
                                        driver.identity,
                                        driver.name,
                                        driver.report.toLine(sessionId))));
        state.put("live", connected);
        state.put(
                "astray",
                lostDrivers.values().stream()
                        .map(
                                lostDriver ->
                                        List.of(
                                                lostDriver.identity,
                                                lostDriver.name,
                                                lostDriver.planRevision,
                                                lostDriver.lossNumber,
                                                (long) lostDriver.stoppedLevel,
                                                lostDriver.exiting))
                        .toList());
        state.put(
                "gone", removals.stream().map(removal -> List.of(removal[0], removal[1])).toList());
        state.put("history", List.copyOf(history));
        return state;
    }

    /**
     * Replaces the whole state by a snapshot's; a snapshot taken before the plan existed has none
     * and yields an empty plan.
     */
    public void restore(Object snapshot) {
        machines.clear();
        entries.clear();
        entriesByChange.clear();
        connectedDrivers.clear();
        lostDrivers.clear();
        removals.clear();
        history.clear();
        inventoryLines = List.of();
        if (!(snapshot instanceof Map<?, ?> state)) {
            return;
        }
        List<String> lines = new ArrayList<>();
        ((List<?>) state.get("lines")).forEach(item -> lines.add((String) item));
        inventoryLines = List.copyOf(lines);
        inventoryLines.stream()
                .skip(1)
                .map(Machine::parse)
                .forEach(machine -> machines.put(machine.name(), machine));
        if (!inventoryLines.isEmpty()) {
            maxConcurrent = Integer.parseInt(inventoryLines.get(0).split(" ")[0]);
            lostViewPolicy =
                    MaintenanceSettings.LostViewPolicy.valueOf(inventoryLines.get(0).split(" ")[1]);
        }
        List<?> figures = (List<?>) state.get("figures");
        revision = number(figures.get(0));
        changeNumber = number(figures.get(1));
        requestCount = number(figures.get(2));
        lossCount = number(figures.get(3));
        inventoryChange = number(figures.get(4));
        held = (Boolean) figures.get(5);
        ((List<?>) state.get("entries"))
                .forEach(
                        values -> {
                            Entry entry = Entry.fromValues((List<?>) values);
                            entries.put(entry.machine, entry);
                            entriesByChange.put(entry.lastChange, entry);
                        });
        ((List<?>) state.get("live"))
                .forEach(
                        item -> {
                            List<?> values = (List<?>) item;
                            ConnectedDriver driver =
                                    new ConnectedDriver(
                                            (String) values.get(1), (String) values.get(2));
                            driver.report = DriverReport.parse((String) values.get(3));
                            connectedDrivers.put((String) values.get(0), driver);
                        });
        ((List<?>) state.get("astray"))
                .forEach(
                        item -> {
                            List<?> values = (List<?>) item;
                            LostDriver lostDriver =
                                    new LostDriver(
                                            (String) values.get(0),
                                            (String) values.get(1),
                                            number(values.get(2)),
                                            number(values.get(3)),
                                            (Boolean) values.get(5));
                            lostDriver.stoppedLevel = (int) number(values.get(4));
                            lostDrivers.put(lostDriver.identity, lostDriver);
                        });
        ((List<?>) state.get("gone"))
                .forEach(
                        item ->
                                removals.add(
                                        new Object[] {
                                            ((List<?>) item).get(0), number(((List<?>) item).get(1))
                                        }));
        ((List<?>) state.get("history")).forEach(line -> history.add((String) line));
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }
}
