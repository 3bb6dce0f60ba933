package wingroad.door;

/**
 * Limits how many txns of one fair queue are in flight at members at once, and adapts this limit to
 * the members' capacity. Rounds with the full limit alternate with rounds with a reduced limit; how
 * much longer submissions take at the full limit tells whether the members are saturated.
 *
 * <p>Latencies are relative to the usual latency of their txn type, so that a mean over several
 * types is meaningful. Comparisons use natural logarithms of ratios. The <i>gradient</i> is the
 * logarithm of the mean latency at the full limit divided by the one at the reduced limit: 0 where
 * members are not saturated, ln(1 / {@link #REDUCED_LIMIT_RATIO}) where they are fully saturated.
 * Times are nanoseconds since the start.
 */
final class AdaptiveConcurrencyLimit {
    private static final double INITIAL_LIMIT = 8;

    /** Lower bound of the limit. Below it the reduced limit would be half of it or nothing. */
    private static final double MIN_LIMIT = 3;

    private static final double MAX_LIMIT = 4096;

    /** The reduced limit as a fraction of the full limit. */
    private static final double REDUCED_LIMIT_RATIO = 0.75;

    /**
     * Gradient at which the limit is in equilibrium. The latency ratio is 1.33 for fully saturated
     * members and 1 for members that are not saturated; in between, the reduced limit just keeps
     * the members busy.
     */
    private static final double TARGET_GRADIENT = Math.log(1.2);

    /**
     * Log ratio of the submissions in flight in the two rounds below which comparing their
     * latencies gives no information.
     */
    private static final double MIN_IN_FLIGHT_LOG_RATIO = 0.12;

    /** Distance from {@link #TARGET_GRADIENT} within which the limit counts as stable. */
    private static final double GRADIENT_TOLERANCE = 0.08;

    /** Change of the limit's logarithm for each unit of distance from the target gradient. */
    private static final double GRADIENT_GAIN = 0.8;

    /**
     * Log ratio of the mean latency to {@link #minLatency} above which the limit no longer
     * increases, whatever the gradient.
     */
    private static final double NO_INCREASE_LOG_RATIO = Math.log(1.5);

    /**
     * Log ratio of the mean latency to {@link #minLatency} above which the limit decreases,
     * whatever the gradient.
     */
    private static final double FORCED_DECREASE_LOG_RATIO = Math.log(1.8);

    /** Factor by which {@link #minLatency} grows each round, so that an old minimum expires. */
    private static final double MIN_LATENCY_GROWTH_PER_ROUND = 1.03;

    /** Relative standard error of a round's mean below which the gradient is precise. */
    private static final double PRECISE_RELATIVE_ERROR = 0.08;

    /** Replaces {@link #GRADIENT_GAIN} for a decrease that follows a precise gradient. */
    private static final double PRECISE_DECREASE_GAIN = 2;

    /** Largest decrease of the limit's logarithm in one step of the gradient control. */
    private static final double MAX_DECREASE_LOG_STEP = -0.3;

    /** Gradient below which members are not saturated: latency is the same at both limits. */
    private static final double UNLOADED_GRADIENT = 0.04;

    /**
     * Log ratio by which latency may be lower at the full limit than at the reduced one. A larger
     * difference is no effect of the limit.
     */
    private static final double INVALID_DECREASE_LOG_RATIO = 0.12;

    /** Lower bound of a single measured gradient. */
    private static final double MIN_GRADIENT_SAMPLE = -0.1;

    /** Increase of the limit's logarithm in one step while members are not saturated. */
    private static final double UNLOADED_INCREASE_LOG_STEP = 0.4;

    /**
     * Relative standard error of a round's mean latency at which the round may end before it has
     * {@link #SUFFICIENT_ROUND_SAMPLE_COUNT} samples.
     */
    private static final double TARGET_RELATIVE_ERROR = 0.12;

    /** Latency samples that a round needs at least, unless it exceeds its maximum duration. */
    private static final int MIN_ROUND_SAMPLE_COUNT = 8;

    /** Latency samples with which a round ends, however imprecise its mean is. */
    private static final int SUFFICIENT_ROUND_SAMPLE_COUNT = 30;

    /** Duration after which a round ends with {@link #MIN_LATE_ROUND_SAMPLE_COUNT} samples. */
    private static final long MAX_ROUND_NANOS = 1_000_000_000L;

    /** Latency samples that a round needs after its maximum duration. */
    private static final int MIN_LATE_ROUND_SAMPLE_COUNT = 4;

    /**
     * How many consecutive rounds with the reduced limit are skipped at most while members are not
     * saturated: a reduced limit leaves capacity unused.
     */
    private static final int MAX_SKIPPED_REDUCED_ROUNDS = 4;

    /**
     * How many times longer a round with the full limit is while the limit is stable, since a
     * reduced limit leaves capacity unused.
     */
    private static final int STABLE_ROUND_LENGTH_FACTOR = 5;

    /**
     * Log ratio of the recent latency to its baseline above which latency has increased suddenly
     * and a new measurement starts at once.
     */
    private static final double SUDDEN_INCREASE_LOG_RATIO = Math.log(1.35);

    /**
     * Log ratio of the recent latency to its baseline below which latency has decreased suddenly
     * and a new measurement starts at once.
     */
    private static final double SUDDEN_DECREASE_LOG_RATIO = Math.log(0.88);

    /** Number of standard errors above which an increase is not explained by noise. */
    private static final double SUDDEN_CHANGE_STANDARD_ERRORS = 4;

    /** Lower bound of {@link #driftThreshold()}, a log ratio. */
    private static final double MIN_DRIFT_LOG_RATIO = Math.log(1.2);

    /** Weight of a sample in the moving average {@link #recentLatency}. */
    private static final double RECENT_LATENCY_SAMPLE_WEIGHT = 0.12;

    /** Weight of a sample in the moving average {@link #meanLatencyNanos}. */
    private static final double MEAN_LATENCY_SAMPLE_WEIGHT = 0.05;

    /** Weight of a round's mean in the moving average {@link #baselineLatency}. */
    private static final double BASELINE_ROUND_WEIGHT = 0.3;

    /** Weight of a measured gradient near the smoothed one. */
    private static final double NEAR_GRADIENT_SAMPLE_WEIGHT = 0.4;

    /** Weight of a measured gradient far from the smoothed one. */
    private static final double FAR_GRADIENT_SAMPLE_WEIGHT = 0.7;

    /** Gradient below which the reduced limit did not shorten latency significantly. */
    private static final double UNSATURATED_GRADIENT = 0.1;

    /** Largest decrease of the limit's logarithm in one step outside of the gradient control. */
    private static final double MAX_FORCED_DECREASE_LOG_STEP = Math.log(0.45);

    private static final double INITIAL_MEAN_LATENCY_NANOS = 100e6;

    private double fullLimit = INITIAL_LIMIT;

    /** Whether the present round uses the reduced limit. */
    private boolean reduced;

    private long round;
    private long roundStartNanos;

    // Relative latencies of the present round.
    private double latencySum;
    private double latencySquareSum;
    private int sampleCount;

    /** Mean relative latency of the last round with the full limit; NaN where none is usable. */
    private double fullLimitLatency = Double.NaN;

    /** Mean number in flight during the last round with the full limit. */
    private double fullLimitInFlight;

    /** The lowest mean latency of a round; it grows slowly so that old minima expire. */
    private double minLatency = Double.MAX_VALUE;

    /** Sum, over the submissions started in the present round, of the number then in flight. */
    private double inFlightSum;

    private int startedCount;

    /** Moving average over rounds of the latency with the full limit; NaN before the first. */
    private double baselineLatency = Double.NaN;

    /** Moving average over single relative latencies; NaN before the first. */
    private double recentLatency = Double.NaN;

    /** The smoothed gradient. */
    private double gradient = TARGET_GRADIENT;

    /** Whether the gradient is near its target: rounds with the full limit are then longer. */
    private boolean stable;

    /** Moving average of the absolute latency. */
    private double meanLatencyNanos = INITIAL_MEAN_LATENCY_NANOS;

    /** Whether txns were queued at some time of the present round. */
    private boolean hadBacklog;

    /** Whether txns were queued in the present round because the limit was reached. */
    private boolean limitReached;

    private int skippedReducedRounds;

    /** Whether the present round repeats one that was discarded. */
    private boolean repeatingRound;

    /** Relative standard error of a round's mean; the larger one of the last pair of rounds. */
    private double relativeError;

    /** Relative standard deviation of single latencies with the full limit. */
    private double relativeDeviation;

    /** How many txns may be in flight in the present round. */
    int currentLimit() {
        int roundedLimit = (int) Math.round(fullLimit);
        return reduced
                ? Math.max(
                        1,
                        Math.min(
                                roundedLimit - 1,
                                (int) Math.round(fullLimit * REDUCED_LIMIT_RATIO)))
                : roundedLimit;
    }

    /** The limit without the reduction that some rounds apply. */
    double fullLimit() {
        return fullLimit;
    }

    /** Moving average of the latency of committed submissions. */
    double meanLatencyNanos() {
        return meanLatencyNanos;
    }

    /** The present round, to be passed to {@link #onCommitted} for submissions started now. */
    long round() {
        return round;
    }

    /**
     * Records that eligible txns are queued.
     *
     * @param forLimit whether they wait because this limit is reached, rather than for the decision
     *     module to submit the txns that it holds
     */
    void onBacklog(boolean forLimit) {
        hadBacklog = true;
        limitReached |= forLimit;
    }

    /**
     * Records the start of a submission.
     *
     * @param inFlight txns in flight, this one included
     */
    void onSubmissionStarted(int inFlight) {
        inFlightSum += inFlight;
        startedCount++;
    }

    /**
     * Records the latency of a committed submission.
     *
     * @param submissionRound the round in which the submission started, or -1; a sample of another
     *     round was taken under another limit and is not part of the round's mean
     * @param relativeLatency the latency divided by the usual latency of the txn type
     */
    void onCommitted(
            long nowNanos, long submissionRound, double relativeLatency, double latencyNanos) {
        meanLatencyNanos += MEAN_LATENCY_SAMPLE_WEIGHT * (latencyNanos - meanLatencyNanos);
        if (submissionRound != round) {
            return;
        }
        recentLatency =
                Double.isNaN(recentLatency)
                        ? relativeLatency
                        : recentLatency
                                + RECENT_LATENCY_SAMPLE_WEIGHT * (relativeLatency - recentLatency);
        if (stable
                && !reduced
                && sampleCount > MIN_ROUND_SAMPLE_COUNT
                && isSuddenChange(Math.log(recentLatency / baselineLatency))) {
            stable = false;
            startRound(nowNanos);
            return;
        }
        latencySum += relativeLatency;
        latencySquareSum += relativeLatency * relativeLatency;
        sampleCount++;
        int lengthFactor = reduced || !stable ? 1 : STABLE_ROUND_LENGTH_FACTOR;
        boolean enoughSamples =
                sampleCount
                                >= lengthFactor
                                        * Math.max(
                                                MIN_ROUND_SAMPLE_COUNT,
                                                Math.min(fullLimit, SUFFICIENT_ROUND_SAMPLE_COUNT))
                        && (sampleCount >= lengthFactor * SUFFICIENT_ROUND_SAMPLE_COUNT
                                || roundRelativeError() <= TARGET_RELATIVE_ERROR);
        if (enoughSamples
                || sampleCount >= MIN_LATE_ROUND_SAMPLE_COUNT
                        && nowNanos - roundStartNanos > lengthFactor * MAX_ROUND_NANOS) {
            finishRound(nowNanos);
        }
    }

    /** The standard error of the round's mean latency, divided by this mean. */
    private double roundRelativeError() {
        double mean = latencySum / sampleCount;
        return Math.sqrt(Math.max(0, latencySquareSum / sampleCount - mean * mean) / sampleCount)
                / mean;
    }

    private boolean isSuddenChange(double logRatio) {
        return logRatio > Math.max(SUDDEN_INCREASE_LOG_RATIO, driftThreshold())
                || logRatio < Math.min(SUDDEN_DECREASE_LOG_RATIO, -driftThreshold() / 2);
    }

    /**
     * The log ratio by which {@link #recentLatency} may differ from a round's mean without a change
     * of the members: half of the relative standard deviation of single latencies, or 20 percent.
     */
    private double driftThreshold() {
        return Math.max(MIN_DRIFT_LOG_RATIO, relativeDeviation / 2);
    }

    private void finishRound(long nowNanos) {
        double mean = latencySum / sampleCount;
        if (hadBacklog
                && !repeatingRound
                && Math.abs(Math.log(recentLatency / mean)) > driftThreshold()) {
            // Latency has changed during the round, so its mean is discarded and the round
            // repeated.
            repeatingRound = true;
            startRound(nowNanos);
            return;
        }
        repeatingRound = false;
        minLatency = Math.min(mean, minLatency * MIN_LATENCY_GROWTH_PER_ROUND);
        if (!hadBacklog) {
            // Without a backlog the limit has no effect and cannot be estimated.
            fullLimitLatency = Double.NaN;
            reduced = false;
        } else if (!reduced) {
            fullLimitLatency = mean;
            fullLimitInFlight = inFlightSum / Math.max(1, startedCount);
            // Guards against a limit that is never reached because the decision module's own limits
            // are lower: both rounds would measure the same load.
            fullLimit = Math.max(MIN_LIMIT, Math.min(fullLimit, fullLimitInFlight + 1));
            double aboveMinimum = Math.log(mean / minLatency);
            if (aboveMinimum > FORCED_DECREASE_LOG_RATIO) {
                fullLimit =
                        Math.max(
                                MIN_LIMIT,
                                fullLimit
                                        * Math.exp(
                                                Math.max(
                                                        MAX_FORCED_DECREASE_LOG_STEP,
                                                        FORCED_DECREASE_LOG_RATIO - aboveMinimum)));
                stable = false;
            }
            relativeError = roundRelativeError();
            relativeDeviation = relativeError * Math.sqrt(sampleCount);
            // Members are not saturated and the limit is not what keeps txns queued: a reduced
            // limit
            // would only leave capacity unused.
            boolean skipReducedRound =
                    !limitReached
                            && gradient < UNLOADED_GRADIENT
                            && skippedReducedRounds < MAX_SKIPPED_REDUCED_ROUNDS;
            skippedReducedRounds = skipReducedRound ? skippedReducedRounds + 1 : 0;
            reduced = !skipReducedRound;
        } else {
            reduced = false;
            relativeError = Math.max(relativeError, roundRelativeError());
            updateLimit(
                    Math.log(fullLimitLatency / mean),
                    Math.log(fullLimitInFlight * startedCount / inFlightSum));
        }
        startRound(nowNanos);
    }

    private void startRound(long nowNanos) {
        round++;
        roundStartNanos = nowNanos;
        latencySum = 0;
        latencySquareSum = 0;
        sampleCount = 0;
        inFlightSum = 0;
        startedCount = 0;
        hadBacklog = false;
        limitReached = false;
    }

    /**
     * Adjusts the limit after a pair of rounds.
     *
     * @param latencyLogRatio log ratio of the mean latency at the full limit to that at the reduced
     *     limit
     * @param inFlightLogRatio log ratio of the numbers in flight; lower than that of the limits
     *     where the decision module's own limits apply
     */
    private void updateLimit(double latencyLogRatio, double inFlightLogRatio) {
        if (inFlightLogRatio < MIN_IN_FLIGHT_LOG_RATIO) {
            stable = false;
            return;
        }
        double gradientSample =
                Math.max(
                        MIN_GRADIENT_SAMPLE,
                        latencyLogRatio * -Math.log(REDUCED_LIMIT_RATIO) / inFlightLogRatio);
        double suddenIncrease =
                Math.max(SUDDEN_INCREASE_LOG_RATIO, relativeError * SUDDEN_CHANGE_STANDARD_ERRORS);
        if (latencyLogRatio < -Math.max(INVALID_DECREASE_LOG_RATIO, relativeError * 2)) {
            // Latency was lower with more in flight: something else has changed between the rounds.
            stable = false;
            return;
        }
        gradient +=
                (Math.abs(gradientSample - gradient) > 2 * GRADIENT_TOLERANCE
                                ? FAR_GRADIENT_SAMPLE_WEIGHT
                                : NEAR_GRADIENT_SAMPLE_WEIGHT)
                        * (gradientSample - gradient);
        double gradientError = TARGET_GRADIENT - gradient;
        stable = Math.abs(gradientError) < GRADIENT_TOLERANCE;
        // The gradient of full saturation is only slightly above the target, so a precise gradient
        // above the target needs a larger gain to decrease the limit fast enough.
        double gain =
                gradientError < 0 && relativeError < PRECISE_RELATIVE_ERROR
                        ? PRECISE_DECREASE_GAIN
                        : GRADIENT_GAIN;
        double logStep =
                Math.max(
                        MAX_DECREASE_LOG_STEP,
                        gradientSample < UNLOADED_GRADIENT && gradient < UNLOADED_GRADIENT
                                ? UNLOADED_INCREASE_LOG_STEP
                                : gain * gradientError);
        if (Math.log(recentLatency / baselineLatency) > driftThreshold()) {
            // Guards against an increase while a change of the members fell between the two rounds.
            logStep = Math.min(logStep, 0);
        }
        // Guards against two queues that saturate the same member while neither finds an effect of
        // reducing only its own limit.
        double aboveMinimum = Math.log(fullLimitLatency / minLatency);
        logStep = aboveMinimum > NO_INCREASE_LOG_RATIO ? Math.min(logStep, 0) : logStep;
        double aboveBaseline = Math.log(fullLimitLatency / baselineLatency);
        if (Double.isNaN(aboveBaseline)
                || aboveBaseline <= suddenIncrease
                || gradientSample < UNSATURATED_GRADIENT) {
            // A sudden increase that the reduced limit does not lower is the new usual latency.
            baselineLatency =
                    Double.isNaN(aboveBaseline) || aboveBaseline > suddenIncrease
                            ? fullLimitLatency
                            : baselineLatency
                                    + BASELINE_ROUND_WEIGHT * (fullLimitLatency - baselineLatency);
        } else if (gradientSample >= TARGET_GRADIENT) {
            // Guards against the loss of half the members at once: latency has increased suddenly,
            // and the reduced limit lowers it.
            logStep = Math.max(MAX_FORCED_DECREASE_LOG_STEP, -aboveBaseline);
            gradient = TARGET_GRADIENT;
        }
        fullLimit = Math.max(MIN_LIMIT, Math.min(MAX_LIMIT, fullLimit * Math.exp(logStep)));
    }
}
