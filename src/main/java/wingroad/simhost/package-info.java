/** Adapter that runs routers inside a simulator, over its line-based JSON protocol. */
package wingroad.simhost;
