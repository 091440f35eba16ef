// Package program lists, shows and ends programs.
package program
