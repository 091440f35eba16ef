package cmdutil

import (
	"errors"
	"fmt"

	"cardamomward/core/apierror"
	"cardamomward/io/httpx"

	"github.com/joomcode/errorx"
)

// ExitCode is what a command's process returns.
type ExitCode int

// Exit codes by kind of error.
const (
	ExitOK          ExitCode = 0
	ExitFailure     ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitConflict    ExitCode = 3
	ExitUnreachable ExitCode = 4
	ExitNotFound    ExitCode = 5
)

// UsageError marks a mistake in flags, arguments or files.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem }

// Usage returns an error that tells what to do instead.
func Usage(format string, args ...any) error {
	return &UsageError{Problem: fmt.Sprintf(format, args...)}
}

// CodeOf returns the exit code for an error.
func CodeOf(err error) ExitCode {
	var usage *UsageError
	var refused *apierror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errorx.IsOfType(err, httpx.ErrNoResponse):
		return ExitUnreachable
	case errors.As(err, &refused):
		return codeOfKind(refused.Kind)
	default:
		return ExitFailure
	}
}

func codeOfKind(kind apierror.Kind) ExitCode {
	switch kind {
	case apierror.SettingsInvalid, apierror.InvalidRequest:
		return ExitUsage
	case apierror.SettingsConflict:
		return ExitConflict
	case apierror.NotFound:
		return ExitNotFound
	case apierror.LogUnavailable, apierror.OwnerChanged:
		return ExitUnreachable
	default:
		return ExitFailure
	}
}
