// Package reconcile decides which owners' memory an engine should release, because their programs are gone.
package reconcile
