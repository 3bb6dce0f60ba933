/** State that the routing decisions keep of members, groups, txns and their submissions. */
package wingroad.state;
