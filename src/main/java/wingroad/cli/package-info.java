/** The command line: commands for serving, checking files, and operating a fleet. */
package wingroad.cli;
