package wingroad.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A driver's own side of its session: how long its lease runs, on its own clock from before each
 * beat was sent, and which duties it holds meanwhile. It may act only while {@link #mayAct} says
 * so, asked with a clock read just before.
 */
public class SessionLease {
    /** Beats that were sent and not yet settled; more than these are not waited for. */
    private static final int MAX_PENDING_HEARTBEATS = 64;

    /** A duty as it is settled. */
    public record DutyState(
            String duty,
            String owner,
            long epoch,
            long run,
            String outcome,
            String handOverTarget) {}

    private record PendingHeartbeat(long number, Duration sentAt) {}

    private final Lease lease;
    private final String sessionId;
    private final ArrayDeque<PendingHeartbeat> pendingHeartbeats = new ArrayDeque<>();
    private final Map<String, DutyState> current = new TreeMap<>();
    private long lastHeartbeat;
    private Duration expiresAt = Duration.ZERO;
    private boolean open;
    private boolean ended;

    public SessionLease(Lease lease, String sessionId) {
        this.lease = lease;
        this.sessionId = sessionId;
    }

    public String sessionId() {
        return sessionId;
    }

    /** The number of the next beat, which goes out now or later. */
    public long nextHeartbeat(Duration now) {
        pendingHeartbeats.add(new PendingHeartbeat(++lastHeartbeat, now));
        if (pendingHeartbeats.size() > MAX_PENDING_HEARTBEATS) {
            pendingHeartbeats.poll();
        }
        return lastHeartbeat;
    }

    /** The council has settled this beat: the lease runs from when it was asked for. */
    public void heartbeatCommitted(long number, Duration now) {
        while (!pendingHeartbeats.isEmpty() && pendingHeartbeats.peek().number <= number) {
            PendingHeartbeat heartbeat = pendingHeartbeats.poll();
            if (heartbeat.number == number) {
                Duration expiry = leaseStart(heartbeat.sentAt, now).plus(lease.duration());
                expiresAt = expiry.compareTo(expiresAt) > 0 ? expiry : expiresAt;
            }
        }
    }

    /** Where a lease begins that was asked for and heard of at these times. */
    protected Duration leaseStart(Duration sentAt, Duration confirmedAt) {
        return sentAt;
    }

    /** Whether the council knows this session. */
    public void markOpen() {
        open = true;
    }

    /**
     * The council has ended the session, or it has been left: nothing is done under it any more.
     */
    public void markEnded() {
        ended = true;
    }

    public boolean isOpen() {
        return open && !ended;
    }

    public boolean isEnded() {
        return ended;
    }

    /** A duty as the council has settled it. */
    public void updateDuty(DutyState state) {
        current.put(state.duty, state);
    }

    public Collection<DutyState> current() {
        return current.values();
    }

    public DutyState current(String duty) {
        return current.get(duty);
    }

    /**
     * The duties that are this driver's to do, those that it is asked to give up not among them.
     */
    public List<DutyState> ownedDuties(Duration now) {
        List<DutyState> owned = new ArrayList<>();
        for (DutyState state : current.values()) {
            if (mayAct(state.duty, state.epoch, now)) {
                owned.add(state);
            }
        }
        return owned;
    }

    /** The duties that are to be given up. */
    public List<DutyState> releaseRequests() {
        return current.values().stream()
                .filter(state -> state.owner.equals(sessionId) && !state.handOverTarget.isEmpty())
                .toList();
    }

    /** Whether an effect under this epoch may be started at this time. */
    public boolean mayAct(String duty, long epoch, Duration now) {
        DutyState state = current.get(duty);
        return state != null
                && isOpen()
                && state.owner.equals(sessionId)
                && state.epoch == epoch
                && state.handOverTarget.isEmpty()
                && now.compareTo(expiresAt) < 0;
    }

    /** Up to when the lease runs, on the driver's own clock. */
    public Duration expiresAt() {
        return expiresAt;
    }
}
