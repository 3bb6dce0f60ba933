/** Reader and writer of the KDL document language, version 2.0. */
package wingroad.kdl;
