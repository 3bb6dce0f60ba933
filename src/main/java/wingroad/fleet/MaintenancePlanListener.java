package wingroad.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Receives the maintenance plan at a driver. Called on the fleet's thread, in order. */
public interface MaintenancePlanListener {
    /**
     * The committed plan has changed.
     *
     * @param changes for {@link wingroad.work.PlanCopy#applyChanges}
     * @param totals the fleet's figures if this driver is the maintenance controller, else null
     * @param liveDrivers the drivers with a session if this driver is the controller, else null
     */
    void planUpdated(Map<String, Object> changes, List<?> totals, List<?> liveDrivers);

    /**
     * The period for which the last received plan is valid has changed.
     *
     * @param until monotonic time at which it ends
     * @param sessionEnded the session has ended: the plan is no longer valid
     * @param controllerEpoch the epoch under which this driver is the maintenance controller, or 0
     */
    void leaseUpdated(Duration until, boolean sessionEnded, long controllerEpoch);
}
