package wingroad.work;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Whether work does harm: the part of the txns that are declined, rolled back or late, now beside
 * before it began. Learned from the fleet's figures; a new conductor knows nothing and watches for
 * a while first.
 */
final class HarmMonitor {
    /** So few txns in a window say nothing. */
    private static final long FEW = 20;

    private record Sample(Duration at, long served, long harmed) {}

    private final Duration watch;
    private final double most;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private double before = -1;
    private Duration harmAt;

    HarmMonitor(Duration watch, double most) {
        this.watch = watch;
        this.most = most;
    }

    /** The fleet's figures since some start; {@code atWork} while a machine is on its way. */
    void figures(long served, long harmed, boolean atWork, Duration now) {
        if (!samples.isEmpty()
                && (served < samples.peekLast().served || harmed < samples.peekLast().harmed)) {
            // A driver has gone with its figures: they begin anew.
            samples.clear();
        }
        samples.add(new Sample(now, served, harmed));
        while (samples.size() > 2 && now.minus(samples.peekFirst().at).compareTo(watch) > 0) {
            samples.poll();
        }
        double part = part();
        if (!atWork && part >= 0) {
            before = before < 0 ? part : before * 0.9 + part * 0.1;
        }
        if (part >= 0 && part > Math.max(0, before) + most) {
            harmAt = now;
        }
    }

    /** The part that was harmed in the window, or -1 where too few came to say. */
    double part() {
        if (samples.size() < 2) {
            return -1;
        }
        long served = samples.peekLast().served - samples.peekFirst().served;
        long harmed = samples.peekLast().harmed - samples.peekFirst().harmed;
        return served + harmed < FEW ? -1 : (double) harmed / (served + harmed);
    }

    double before() {
        return Math.max(0, before);
    }

    /** Harm is seen now. */
    boolean harms(Duration now) {
        return harmAt != null && now.equals(harmAt);
    }

    /** Nothing was seen for the whole of the time that has to be watched. */
    boolean calm(Duration now) {
        return !samples.isEmpty()
                && now.minus(samples.peekFirst().at).compareTo(watch.dividedBy(2)) >= 0
                && (harmAt == null || now.minus(harmAt).compareTo(watch) >= 0);
    }
}
