package soak

import "syscall"

// processAttributes makes the kernel kill a host's process if the soak ends without stopping it.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
