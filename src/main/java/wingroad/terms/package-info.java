/** Reads and validates the settings that describe a deployment to the router. */
package wingroad.terms;
