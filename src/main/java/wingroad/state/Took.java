package wingroad.state;

import java.time.Duration;

/** How long one txn type takes of one kind of member, in milliseconds. */
public final class Took {
    public final DecayingSum total;
    public final DecayingSum count;

    /** A low mean: what it takes of a member that is not crowded. */
    public double calm;

    public Took(Duration memory, double calm) {
        this.total = new DecayingSum(memory);
        this.count = new DecayingSum(memory);
        this.calm = calm;
    }

    public void add(Duration now, double ms) {
        total.add(now, ms);
        count.add(now, 1);
    }

    /** The present mean, or {@link #calm} where too little is known. */
    public double usual(Duration now) {
        double n = count.read(now);
        return n < 1 ? calm : total.read(now) / n;
    }
}
