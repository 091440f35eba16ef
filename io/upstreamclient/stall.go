package upstreamclient

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeStallTimeout is the time without an acknowledgement after which a connection is suspected to hang. Hosts acknowledge
// data even while the upstream's process is busy.
const writeStallTimeout = 100 * time.Millisecond

// stallDetector detects that the peer's host does not acknowledge what was written; its zero value is stopped.
type stallDetector struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start calls onStall once if bytes stay unacknowledged without progress for writeStallTimeout. It watches until all bytes are
// written and acknowledged.
func (d *stallDetector) start(ctx context.Context, conn net.Conn, isWritten func() bool, onStall func(ctx context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unacknowledged := 0
	d.timer = time.AfterFunc(writeStallTimeout, func() {
		wasWritten := isWritten()
		bytes := unacknowledgedBytes(conn)
		if bytes == 0 && wasWritten {
			return
		}
		if bytes > 0 && bytes == unacknowledged {
			onStall(ctx)

			return
		}
		unacknowledged = bytes
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.stopped {
			d.timer.Reset(writeStallTimeout)
		}
	})
}

func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// unacknowledgedBytes returns the number of bytes that were written and not acknowledged; zero if it is unknown.
func unacknowledgedBytes(conn net.Conn) int {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	if err := control.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}

	return bytes
}
