package wingroad.state;

import java.time.Duration;

/** Work that one driver submits to the members of one kind. */
public final class Load {
    public final Duration span;

    /** Work submitted, in calm answer times; its half-life is the span. */
    public final DecayingSum sent;

    /** How many members of the kind are listed, and when counted. */
    public long members;

    public Duration countedAt;

    public Load(Duration span) {
        this.span = span;
        this.sent = new DecayingSum(span);
    }
}
