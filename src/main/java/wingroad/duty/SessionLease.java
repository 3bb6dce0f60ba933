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
    private static final int MOST_OUT = 64;

    /** A duty as it is settled. */
    public record DutyState(
            String duty,
            String owner,
            long epoch,
            long run,
            String outcome,
            String handOverTarget) {}

    private record Beat(long number, Duration askedAt) {}

    private final Lease lease;
    private final String sessionId;
    private final ArrayDeque<Beat> out = new ArrayDeque<>();
    private final Map<String, DutyState> current = new TreeMap<>();
    private long beats;
    private Duration expiresAt = Duration.ZERO;
    private boolean open;
    private boolean over;

    public SessionLease(Lease lease, String session) {
        this.lease = lease;
        this.sessionId = session;
    }

    public String sessionId() {
        return sessionId;
    }

    /** The number of the next beat, which goes out now or later. */
    public long nextHeartbeat(Duration now) {
        out.add(new Beat(++beats, now));
        if (out.size() > MOST_OUT) {
            out.poll();
        }
        return beats;
    }

    /** The council has settled this beat: the lease runs from when it was asked for. */
    public void heartbeatCommitted(long beat, Duration now) {
        while (!out.isEmpty() && out.peek().number <= beat) {
            Beat b = out.poll();
            if (b.number == beat) {
                Duration runs = leaseStart(b.askedAt, now).plus(lease.duration());
                expiresAt = runs.compareTo(expiresAt) > 0 ? runs : expiresAt;
            }
        }
    }

    /** Where a lease begins that was asked for and heard of at these times. */
    protected Duration leaseStart(Duration askedAt, Duration heardAt) {
        return askedAt;
    }

    /** Whether the council knows this session. */
    public void markOpen() {
        open = true;
    }

    /**
     * The council has ended the session, or it has been left: nothing is done under it any more.
     */
    public void markEnded() {
        over = true;
    }

    public boolean isOpen() {
        return open && !over;
    }

    public boolean isEnded() {
        return over;
    }

    /** A duty as the council has settled it. */
    public void updateDuty(DutyState duty) {
        current.put(duty.duty, duty);
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
        List<DutyState> mine = new ArrayList<>();
        for (DutyState h : current.values()) {
            if (mayAct(h.duty, h.epoch, now)) {
                mine.add(h);
            }
        }
        return mine;
    }

    /** The duties that are to be given up. */
    public List<DutyState> releaseRequests() {
        return current.values().stream()
                .filter(h -> h.owner.equals(sessionId) && !h.handOverTarget.isEmpty())
                .toList();
    }

    /** Whether an effect under this epoch may be started at this time. */
    public boolean mayAct(String duty, long epoch, Duration now) {
        DutyState h = current.get(duty);
        return h != null
                && isOpen()
                && h.owner.equals(sessionId)
                && h.epoch == epoch
                && h.handOverTarget.isEmpty()
                && now.compareTo(expiresAt) < 0;
    }

    /** Up to when the lease runs, on the driver's own clock. */
    public Duration expiresAt() {
        return expiresAt;
    }
}
