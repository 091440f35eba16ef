package cmdutil

import (
	"errors"
	"fmt"

	"cardamomward/core/apierror"
	"cardamomward/io/httpx"

	"github.com/joomcode/errorx"
)

// ExitCode is the exit code of a command's process.
type ExitCode int

// Exit codes by kind of error.
const (
	ExitOK ExitCode = 0
	// ExitFailure is for errors without a code of their own.
	ExitFailure ExitCode = 1
	// ExitUsage is for invalid flags, arguments, files and requests.
	ExitUsage ExitCode = 2
	// ExitConflict is for settings that were changed since the version on which the change is based.
	ExitConflict ExitCode = 3
	// ExitUnreachable is for a host that did not respond, an unavailable log, and a change of the slot's owner.
	ExitUnreachable ExitCode = 4
	// ExitNotFound is for a host, workspace, key, program or settings entry that does not exist.
	ExitNotFound ExitCode = 5
)

// UsageError is an error about the flags, arguments or files that the user gave.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// NewUsageError returns a UsageError with a formatted message, which should say what to do instead.
func NewUsageError(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// ExitCodeFor returns the exit code for an error.
func ExitCodeFor(err error) ExitCode {
	var usage *UsageError
	var apiErr *apierror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errorx.IsOfType(err, httpx.ErrNoResponse):
		return ExitUnreachable
	case errors.As(err, &apiErr):
		return exitCodeForKind(apiErr.Kind)
	default:
		return ExitFailure
	}
}

func exitCodeForKind(kind apierror.Kind) ExitCode {
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
