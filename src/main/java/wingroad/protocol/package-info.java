/**
 * Parsers and encoders for PostgreSQL's wire protocol, HTTP responses, JSON and the member list.
 */
package wingroad.protocol;
