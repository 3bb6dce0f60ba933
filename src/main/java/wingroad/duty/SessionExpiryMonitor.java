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
    private record HeartbeatObservation(long heartbeat, Duration observedAt) {}

    private final Lease lease;
    private final Map<String, HeartbeatObservation> observations = new HashMap<>();

    public SessionExpiryMonitor(Lease lease) {
        this.lease = lease;
    }

    /** Compares with what is settled now. */
    public void observe(DutyStateMachine stateMachine, Duration now) {
        observations.keySet().removeIf(session -> stateMachine.session(session) == null);
        for (DutyStateMachine.Session session : stateMachine.sessions()) {
            HeartbeatObservation previous = observations.get(session.id());
            if (previous == null || previous.heartbeat != session.lastHeartbeat()) {
                observations.put(
                        session.id(), new HeartbeatObservation(session.lastHeartbeat(), now));
            }
        }
    }

    /** The sessions whose leases have run out for certain. */
    public List<Command> expireCommands(Duration now) {
        List<Command> commands = new ArrayList<>();
        observations.forEach(
                (sessionId, observation) -> {
                    if (now.minus(observation.observedAt).compareTo(lease.voterTimeout()) > 0) {
                        commands.add(Command.expireSession(sessionId, observation.heartbeat));
                    }
                });
        commands.sort((left, right) -> left.sessionId().compareTo(right.sessionId()));
        return commands;
    }

    /** How long ago this session was renewed as this voter knows it, or null. */
    public Duration timeSinceHeartbeat(String sessionId, Duration now) {
        HeartbeatObservation observation = observations.get(sessionId);
        return observation == null ? null : now.minus(observation.observedAt);
    }
}
