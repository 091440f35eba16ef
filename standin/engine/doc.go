// Package engine is a stand-in for a model engine: continuous batching with a limited prefix cache, and switches for its faults.
package engine
