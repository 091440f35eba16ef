// Package turnstore retains turns and assembles the transcript that a new turn continues from.
package turnstore
