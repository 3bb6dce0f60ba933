package wingroad.state;

import java.time.Duration;

/** Work that one driver submits to the members of one kind. */
public final class HostClassLoad {
    public final Duration halfLife;

    /** Work submitted, in calm answer times; its half-life is the span. */
    public final DecayingSum submittedWorkMs;

    /** How many members of the kind are listed, and when counted. */
    public long memberCount;

    public Duration countedAt;

    public HostClassLoad(Duration span) {
        this.halfLife = span;
        this.submittedWorkMs = new DecayingSum(span);
    }
}
