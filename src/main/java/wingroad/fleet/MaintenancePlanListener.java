package wingroad.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Who acts on the plan of work on machines at a driver. Called on the fleet's thread, in order. */
public interface MaintenancePlanListener {
    /**
     * Something of the plan is settled.
     *
     * @param news for {@link wingroad.work.PlanCopy#applyChanges}
     * @param sums the fleet's figures where this driver conducts, else null
     * @param live the drivers with a session, likewise
     */
    void planUpdated(Map<String, Object> changes, List<?> totals, List<?> liveDrivers);

    /**
     * How long what was told last holds.
     *
     * @param until on the monotone clock
     * @param over the session has ended: nothing holds any more
     * @param conducts the epoch under which this driver conducts the work, or 0
     */
    void leaseUpdated(Duration until, boolean sessionEnded, long conductorEpoch);
}
