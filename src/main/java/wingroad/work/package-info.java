/**
 * Maintenance of machines: the replicated plan, the controller that takes machines out of service,
 * drains them and brings them back, and what each driver derives from the plan for the members on
 * them.
 */
package wingroad.work;
