package wingroad.door;

/**
 * How many txns of one lane are out at members at once, found by itself: rounds with all of the
 * window and with a part of it take turns, and how much longer answers take with all of it tells
 * whether members are crowded. Answer times come as shares of their txn type's usual one. Times are
 * nanoseconds since the start.
 */
final class Window {
    private static final double FIRST = 8;

    /** With less the low share would be half of it or nothing. */
    private static final double LEAST = 3;

    private static final double MOST = 4096;
    private static final double LOW_SHARE = 0.75;

    /**
     * Where the window settles: answers with all of it take so many of those with its low share.
     * All crowded they take 1.33, not crowded at all 1; between, the low share just keeps the
     * members busy.
     */
    private static final double SETTLED = Math.log(1.2);

    /** Rounds with less between them tell nothing. */
    private static final double LEAST_APART = 0.12;

    private static final double NEAR = 0.08;
    private static final double GAIN = 0.8;

    /**
     * Answers that take so many of the shortest ones seen: the window grows no more; it falls,
     * whatever the rounds say.
     */
    private static final double NO_GROWTH = Math.log(1.5);

    private static final double FAR = Math.log(1.8);
    private static final double FORGETS = 1.03;
    private static final double PLAIN = 0.08;
    private static final double PLAIN_GAIN = 2;
    private static final double FASTEST_FALL = -0.3;

    /** Not crowded at all: as long with all of the window as with its low share. */
    private static final double CALM = 0.04;

    private static final double IMPOSSIBLE = 0.12;
    private static final double LEAST_SEEN = -0.1;
    private static final double FASTEST_RISE = 0.4;

    /**
     * A round's mean is to be known so well, as a part of itself, where that takes no more than so
     * many answers.
     */
    private static final double KNOWN = 0.12;

    private static final int FEWEST = 8;
    private static final int ENOUGH = 30;
    private static final long LONGEST_ROUND = 1_000_000_000L;

    /**
     * Where it has settled the full window is kept for so many rounds: the low one leaves places
     * empty.
     */
    private static final int MOST_SKIPPED = 4;

    private static final int SETTLED_ROUNDS = 5;

    /**
     * Answers that take so many of what they took before have a cause that is looked for at once.
     */
    private static final double SUDDEN = Math.log(1.35);

    private static final double EASED = Math.log(0.88);

    /** What noise does not do: so many standard errors. */
    private static final double SURE = 4;

    private static final double MOVED = Math.log(1.2);
    private static final double FEW = 0.12;

    /** Below this the low share made no difference that counts. */
    private static final double NOT_CROWDED = 0.1;

    private static final double DEEPEST_FALL = Math.log(0.45);

    private double width = FIRST;
    private boolean low;
    private long round;
    private long roundAt;
    private double sum;
    private double squares;
    private int answers;
    private double fullMean = Double.NaN;
    private double fullOut;

    /** The shortest mean of a round, forgotten little by little. */
    private double leastMean = Double.MAX_VALUE;

    private double outSum;
    private int begun;

    /** What answers with all of the window took lately, over some rounds and over some answers. */
    private double usualMean = Double.NaN;

    private double lastFew = Double.NaN;
    private double crowding = SETTLED;
    private boolean settled;

    /** The mean answer time in nanoseconds. */
    private double meanNanos = 100e6;

    private boolean bound;
    private boolean full;
    private int skipped;
    private boolean again;
    private double noise;
    private double varies;

    /** How many may be out now. */
    int limit() {
        int full = (int) Math.round(width);
        return low ? Math.max(1, Math.min(full - 1, (int) Math.round(width * LOW_SHARE))) : full;
    }

    double width() {
        return width;
    }

    double meanNanos() {
        return meanNanos;
    }

    /** What a submission that begins now belongs to. */
    long round() {
        return round;
    }

    /**
     * Somebody waits for a place in the lane: for this window, or else for what the module still
     * holds.
     */
    void waits(boolean forWindow) {
        bound = true;
        full |= forWindow;
    }

    /** A submission begins; so many are out with it. */
    void begins(int out) {
        outSum += out;
        begun++;
    }

    /**
     * A submission was answered.
     *
     * @param began the round in which it began: those of earlier ones tell of another window
     * @param share its answer time as a share of the usual one
     */
    void answered(long now, long began, double share, double nanos) {
        meanNanos += 0.05 * (nanos - meanNanos);
        if (began != round) {
            return;
        }
        lastFew = Double.isNaN(lastFew) ? share : lastFew + FEW * (share - lastFew);
        if (settled && !low && answers > FEWEST && changed(Math.log(lastFew / usualMean))) {
            settled = false;
            begin(now);
            return;
        }
        sum += share;
        squares += share * share;
        answers++;
        int need = low || !settled ? 1 : SETTLED_ROUNDS;
        boolean enough =
                answers >= need * Math.max(FEWEST, Math.min(width, ENOUGH))
                        && (answers >= need * ENOUGH || noise() <= KNOWN);
        if (enough || answers >= 4 && now - roundAt > need * LONGEST_ROUND) {
            over(now);
        }
    }

    /** How far the round's mean may be off, as a part of itself: its standard error. */
    private double noise() {
        double mean = sum / answers;
        return Math.sqrt(Math.max(0, squares / answers - mean * mean) / answers) / mean;
    }

    private boolean changed(double by) {
        return by > Math.max(SUDDEN, moved()) || by < Math.min(EASED, -moved() / 2);
    }

    /**
     * What the last few are off by where nothing has changed: half of how much single answers vary,
     * or a fifth.
     */
    private double moved() {
        return Math.max(MOVED, varies / 2);
    }

    private void over(long now) {
        double mean = sum / answers;
        if (bound && !again && Math.abs(Math.log(lastFew / mean)) > moved()) {
            // What it was measured by has changed under way: the round is played once more.
            again = true;
            begin(now);
            return;
        }
        again = false;
        leastMean = Math.min(mean, leastMean * FORGETS);
        if (!bound) {
            // Nobody waited for it: how wide it is does not matter now, and cannot be told.
            fullMean = Double.NaN;
            low = false;
        } else if (!low) {
            fullMean = mean;
            fullOut = outSum / Math.max(1, begun);
            // Guards against a window that the module's own limits never let it fill: it would tell
            // nothing.
            width = Math.max(LEAST, Math.min(width, fullOut + 1));
            double above = Math.log(mean / leastMean);
            if (above > FAR) {
                width = Math.max(LEAST, width * Math.exp(Math.max(DEEPEST_FALL, FAR - above)));
                settled = false;
            }
            noise = noise();
            varies = noise * Math.sqrt(answers);
            // Not crowded, and not the window is what binds: a low share would only leave places
            // empty.
            boolean skip = !full && crowding < CALM && skipped < MOST_SKIPPED;
            skipped = skip ? skipped + 1 : 0;
            low = !skip;
        } else {
            low = false;
            noise = Math.max(noise, noise());
            learn(Math.log(fullMean / mean), Math.log(fullOut * begun / outSum));
        }
        begin(now);
    }

    private void begin(long now) {
        round++;
        roundAt = now;
        sum = 0;
        squares = 0;
        answers = 0;
        outSum = 0;
        begun = 0;
        bound = false;
        full = false;
    }

    /**
     * @param longer how much longer answers took with all of the window
     * @param more how much more was out then, which is less than the window's share where the
     *     module's limits bind
     */
    private void learn(double longer, double more) {
        if (more < LEAST_APART) {
            settled = false;
            return;
        }
        double seen = Math.max(LEAST_SEEN, longer * -Math.log(LOW_SHARE) / more);
        double sudden = Math.max(SUDDEN, noise * SURE);
        if (longer < -Math.max(IMPOSSIBLE, noise * 2)) {
            // Shorter with more in: something else has changed between the two rounds.
            settled = false;
            return;
        }
        crowding += (Math.abs(seen - crowding) > 2 * NEAR ? 0.7 : 0.4) * (seen - crowding);
        double off = SETTLED - crowding;
        settled = Math.abs(off) < NEAR;
        // All crowded is little above settled: where it is plain, the fall must not be as slow as
        // that.
        double gain = off < 0 && noise < PLAIN ? PLAIN_GAIN : GAIN;
        double step =
                Math.max(FASTEST_FALL, seen < CALM && crowding < CALM ? FASTEST_RISE : gain * off);
        if (Math.log(lastFew / usualMean) > moved()) {
            // Guards against growing into a change that the two rounds were played across.
            step = Math.min(step, 0);
        }
        // Guards against two lanes that crowd the same member and each find that less of their own
        // changes nothing.
        double above = Math.log(fullMean / leastMean);
        step = above > NO_GROWTH ? Math.min(step, 0) : step;
        double slower = Math.log(fullMean / usualMean);
        if (Double.isNaN(slower) || slower <= sudden || seen < NOT_CROWDED) {
            // Slower all of a sudden, and no shorter with less in: that is how they are now.
            usualMean =
                    Double.isNaN(slower) || slower > sudden
                            ? fullMean
                            : usualMean + 0.3 * (fullMean - usualMean);
        } else if (seen >= SETTLED) {
            // Guards against half the members going at once: slower by so much, and shorter with
            // less in.
            step = Math.max(DEEPEST_FALL, -slower);
            crowding = SETTLED;
        }
        width = Math.max(LEAST, Math.min(MOST, width * Math.exp(step)));
    }
}
