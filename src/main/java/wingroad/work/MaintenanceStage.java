package wingroad.work;

/**
 * The stages of a machine under maintenance. A machine in service for which nothing is requested
 * has none. The values are written by name to messages and to the log.
 */
public enum MaintenanceStage {
    /** Requested; only the controller deals with it. */
    ASKED,
    /** Announced: each driver confirms that it knows, and keeps sending. */
    PLANNED,
    /** Drivers send nothing new to its members. */
    DRAINING,
    /** No driver has anything left on it, and the operator has been told so. */
    OUT,
    /** It is running again; its members are still cold. */
    RETURNING;

    /**
     * Returns whether drivers have been told of it; a driver that loses its lease stops using such
     * a machine.
     */
    public boolean announced() {
        return this != ASKED;
    }
}
