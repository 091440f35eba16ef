// Package program contains the commands that list, show and end programs.
package program
