// Package root assembles the command line.
package root
