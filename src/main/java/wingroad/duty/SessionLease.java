package wingroad.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A driver's view of its session: until when its lease holds, and which duties it owns. The lease
 * is measured on the driver's own clock from before each heartbeat was sent. The driver may act
 * only while {@link #mayAct} returns true for a clock reading taken just before.
 */
public class SessionLease {
    /**
     * Upper bound for heartbeats that were sent and not yet committed; the oldest ones beyond it
     * are dropped and never renew the lease.
     */
    private static final int MAX_PENDING_HEARTBEATS = 64;

    /**
     * The committed state of a duty.
     *
     * @param owner id of the owning session, or empty
     * @param epoch the owner's fencing token
     * @param run number of the newest run, or 0
     * @param outcome outcome of that run, or empty while it is not known
     * @param handOverTarget not empty if the owner is asked to release the duty
     */
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
    private final Map<String, DutyState> dutyStates = new TreeMap<>();
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

    /**
     * Returns the number of the next heartbeat. The lease that it obtains is measured from now,
     * whenever it is sent.
     */
    public long nextHeartbeat(Duration now) {
        pendingHeartbeats.add(new PendingHeartbeat(++lastHeartbeat, now));
        if (pendingHeartbeats.size() > MAX_PENDING_HEARTBEATS) {
            pendingHeartbeats.poll();
        }
        return lastHeartbeat;
    }

    /** Renews the lease from when this heartbeat was sent, since the voters have committed it. */
    public void heartbeatCommitted(long number, Duration now) {
        while (!pendingHeartbeats.isEmpty() && pendingHeartbeats.peek().number <= number) {
            PendingHeartbeat heartbeat = pendingHeartbeats.poll();
            if (heartbeat.number == number) {
                Duration expiry = leaseStart(heartbeat.sentAt, now).plus(lease.duration());
                expiresAt = expiry.compareTo(expiresAt) > 0 ? expiry : expiresAt;
            }
        }
    }

    /** Returns when a lease starts whose heartbeat was sent and confirmed at these times. */
    protected Duration leaseStart(Duration sentAt, Duration confirmedAt) {
        return sentAt;
    }

    /** Records that the voters have opened the session. */
    public void markOpen() {
        open = true;
    }

    /**
     * Records that the voters have ended the session or the driver has left it: nothing may be done
     * under it any more.
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

    /** Takes over the committed state of a duty. */
    public void updateDuty(DutyState state) {
        dutyStates.put(state.duty, state);
    }

    /** Returns the newest known state of each duty. */
    public Collection<DutyState> current() {
        return dutyStates.values();
    }

    /** Returns the newest known state of the duty, or null. */
    public DutyState current(String duty) {
        return dutyStates.get(duty);
    }

    /**
     * Returns the duties that this driver may act for now, without those that it is asked to
     * release.
     */
    public List<DutyState> ownedDuties(Duration now) {
        List<DutyState> owned = new ArrayList<>();
        for (DutyState state : dutyStates.values()) {
            if (mayAct(state.duty, state.epoch, now)) {
                owned.add(state);
            }
        }
        return owned;
    }

    /** Returns the own duties that the driver is asked to release. */
    public List<DutyState> releaseRequests() {
        return dutyStates.values().stream()
                .filter(state -> state.owner.equals(sessionId) && !state.handOverTarget.isEmpty())
                .toList();
    }

    /** Returns whether an effect of the duty under this epoch may be started now. */
    public boolean mayAct(String duty, long epoch, Duration now) {
        DutyState state = dutyStates.get(duty);
        return state != null
                && isOpen()
                && state.owner.equals(sessionId)
                && state.epoch == epoch
                && state.handOverTarget.isEmpty()
                && now.compareTo(expiresAt) < 0;
    }

    /** Returns when the lease ends, on the driver's own clock. */
    public Duration expiresAt() {
        return expiresAt;
    }
}
