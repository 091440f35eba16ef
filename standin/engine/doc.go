// Package engine is a stand-in for a model engine with continuous batching, a bounded prefix cache and fault injection.
package engine
