// Package lineage keeps turns and puts together the chain of turns that a new turn continues from.
package lineage
