//go:build !linux

package soak

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }
