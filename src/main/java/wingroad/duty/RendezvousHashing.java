package wingroad.duty;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import java.util.Collection;
import java.util.Comparator;

/**
 * Chooses owners of duties by rendezvous hashing, so that the loss of a driver moves its own duties
 * and no others. The hash has a fixed seed, since all voters must compute the same result.
 */
final class RendezvousHashing {
    private static final Hasher64 HASH = Hashing.komihash5_0(0x77696e67726f6164L);

    private RendezvousHashing() {}

    /** Returns the weight of this driver for this duty; the highest one gets it. */
    static long weight(String duty, String driver) {
        return HASH.hashCharsToLong(duty + '\0' + driver);
    }

    /** Returns the driver with the highest weight for the duty, or null if there is none. */
    static String select(String duty, Collection<String> drivers) {
        return drivers.stream()
                .max(
                        Comparator.<String>comparingLong(driver -> weight(duty, driver))
                                .thenComparing(Comparator.naturalOrder()))
                .orElse(null);
    }

    /**
     * Returns the largest number of duties that one driver should own: an even share, rounded up,
     * and one more.
     */
    static int maxDutiesPerDriver(int dutyCount, int driverCount) {
        return driverCount == 0 ? 0 : (dutyCount + driverCount - 1) / driverCount + 1;
    }
}
