package wingroad.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks on a voter's own clock since when it has known the newest heartbeat of each session, and
 * proposes to expire sessions whose leases have run out. The log decides: a later heartbeat makes
 * the proposal void. So a voter that restarts or installs a snapshot may start measuring again,
 * since expiring a session later is always safe.
 */
public final class SessionExpiryMonitor {
    private record HeartbeatObservation(long heartbeat, Duration observedAt) {}

    private final Lease lease;
    private final Map<String, HeartbeatObservation> observations = new HashMap<>();

    public SessionExpiryMonitor(Lease lease) {
        this.lease = lease;
    }

    /** Compares the observations with the committed sessions. */
    public void observe(DutyStateMachine stateMachine, Duration now) {
        observations.keySet().removeIf(sessionId -> stateMachine.session(sessionId) == null);
        for (DutyStateMachine.Session session : stateMachine.sessions()) {
            HeartbeatObservation previous = observations.get(session.id());
            if (previous == null || previous.heartbeat != session.lastHeartbeat()) {
                observations.put(
                        session.id(), new HeartbeatObservation(session.lastHeartbeat(), now));
            }
        }
    }

    /** Returns a command for each session whose lease has certainly run out. */
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

    /**
     * Returns how long ago this voter saw the session renewed, or null if it does not know the
     * session.
     */
    public Duration timeSinceHeartbeat(String sessionId, Duration now) {
        HeartbeatObservation observation = observations.get(sessionId);
        return observation == null ? null : now.minus(observation.observedAt);
    }
}
