package daemon

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Guards against a process that lives on without a listener, so that nobody reaches it and nobody starts it again.
func TestHostEndsWithItsServers(t *testing.T) {
	for name, stop := range map[string]func(h *Host){
		"callers":  func(h *Host) { h.callerServer.Abort() },
		"operator": func(h *Host) { h.operatorServer.Abort() },
		"peers":    func(h *Host) { h.peerServer.Abort() },
	} {
		t.Run(name, func(t *testing.T) {
			host, err := New(Config{Host: "host-1", LogAddress: "127.0.0.1:1", HostListAddress: "127.0.0.1:1"}, Options{Logger: logr.Discard()})
			require.NoError(t, err)
			result := make(chan error, 1)
			go func() { result <- host.Run(t.Context()) }()
			stop(host)
			select {
			case err := <-result:
				require.ErrorContains(t, err, "has ended")
			case <-time.After(10 * time.Second):
				require.FailNow(t, "the host runs without a listener")
			}
		})
	}
}
