package platformclient_test

import (
	"os"
	"runtime"
	"testing"
)

// The tests run on one processor: under the race detector of Go 1.26 two processors that run timers of one
// synctest bubble at the same time share its race context, which occasionally crashes the process.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
