package wingroad.state;

import java.time.Duration;

/** Work that one driver submits to the members of one hardware class. */
public final class HostClassLoad {
    /** Half-life of {@link #submittedWorkMs}. */
    public final Duration halfLife;

    /** Submitted work as the sum of baseline response times. */
    public final DecayingSum submittedWorkMs;

    /** Listed members of the class when they were last counted. */
    public long memberCount;

    /** When the members were counted, or null. */
    public Duration countedAt;

    public HostClassLoad(Duration halfLife) {
        this.halfLife = halfLife;
        this.submittedWorkMs = new DecayingSum(halfLife);
    }
}
