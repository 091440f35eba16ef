// Package root assembles the command line from the commands and runs it.
package root
