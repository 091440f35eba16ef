package cmdutil

import (
	"fmt"
	"io"

	"cardamomward/core/settings"
)

// ReportFindings prints the findings of a settings check, one per line, and returns FindingsError.
func ReportFindings(w io.Writer, findings []settings.Finding) error {
	for _, finding := range findings {
		fmt.Fprintln(w, finding)
	}

	return FindingsError(findings)
}

// FindingsError returns a UsageError with the number of findings, nil if there are none.
func FindingsError(findings []settings.Finding) error {
	switch len(findings) {
	case 0:
		return nil
	case 1:
		return NewUsageError("there is 1 finding; nothing was applied")
	default:
		return NewUsageError("there are %d findings; nothing was applied", len(findings))
	}
}
