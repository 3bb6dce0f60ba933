package wingroad.work;

/** How far a machine has come on its way; one that is in, and not asked for, has none. */
public enum MaintenanceStage {
    /** Somebody wants it; nobody but the conductor does anything. */
    ASKED,
    /** Announced: each driver confirms that it knows, and goes on sending. */
    PLANNED,
    /** Nothing new goes there. */
    DRAINING,
    /** Nothing is there of any driver's, and the operator has been told so. */
    OUT,
    /** It runs again, and is cold. */
    RETURNING;

    /** Whether drivers know of it: one that is cut off leaves it alone. */
    public boolean announced() {
        return this != ASKED;
    }
}
