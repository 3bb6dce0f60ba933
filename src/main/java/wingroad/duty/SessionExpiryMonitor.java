package wingroad.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A voter's own clock on the sessions: since when it has known of each one's newest beat. It only
 * ever asks for a session to be ended; that is settled by the log, where a later beat makes it
 * void. So a voter that restarts, or gets a snapshot, may count anew: later is safe.
 */
public final class SessionExpiryMonitor {
    private record Seen(long beat, Duration at) {}

    private final Lease lease;
    private final Map<String, Seen> seen = new HashMap<>();

    public SessionExpiryMonitor(Lease lease) {
        this.lease = lease;
    }

    /** Compares with what is settled now. */
    public void observe(DutyStateMachine register, Duration now) {
        seen.keySet().removeIf(s -> register.session(s) == null);
        for (DutyStateMachine.Session s : register.sessions()) {
            Seen was = seen.get(s.id());
            if (was == null || was.beat != s.lastHeartbeat()) {
                seen.put(s.id(), new Seen(s.lastHeartbeat(), now));
            }
        }
    }

    /** The sessions whose leases have run out for certain. */
    public List<Command> expireCommands(Duration now) {
        List<Command> ends = new ArrayList<>();
        seen.forEach(
                (s, at) -> {
                    if (now.minus(at.at).compareTo(lease.voterTimeout()) > 0) {
                        ends.add(Command.expireSession(s, at.beat));
                    }
                });
        ends.sort((a, b) -> a.sessionId().compareTo(b.sessionId()));
        return ends;
    }

    /** How long ago this session was renewed as this voter knows it, or null. */
    public Duration timeSinceHeartbeat(String session, Duration now) {
        Seen s = seen.get(session);
        return s == null ? null : now.minus(s.at);
    }
}
