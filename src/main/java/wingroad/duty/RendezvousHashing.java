package wingroad.duty;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import java.util.Collection;
import java.util.Comparator;

/**
 * Who gets a duty: rendezvous hashing, so that a driver's death moves its own duties and no others.
 * The hash has a fixed seed, since all voters must come to the same end.
 */
final class RendezvousHashing {
    private static final Hasher64 HASH = Hashing.komihash5_0(0x77696e67726f6164L);

    private RendezvousHashing() {}

    /** How much this driver is meant for this duty. */
    static long weight(String duty, String driver) {
        return HASH.hashCharsToLong(duty + '\0' + driver);
    }

    /** The one most meant for the duty, or null where there is none. */
    static String select(String duty, Collection<String> drivers) {
        return drivers.stream()
                .max(
                        Comparator.<String>comparingLong(driver -> weight(duty, driver))
                                .thenComparing(Comparator.naturalOrder()))
                .orElse(null);
    }

    /** How many duties one driver may have at most. */
    static int maxDutiesPerDriver(int dutyCount, int driverCount) {
        return driverCount == 0 ? 0 : (dutyCount + driverCount - 1) / driverCount + 1;
    }
}
