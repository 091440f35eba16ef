// Package enginegc selects the programs that are no longer open but whose KV cache memory an engine still holds, so that
// the engine can release it.
package enginegc
