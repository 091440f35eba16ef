package cmdutil

import (
	"fmt"
	"io"

	"cardamomward/core/settings"
)

// Findings prints findings one a line and returns a usage error that counts them, nil for none.
func Findings(w io.Writer, findings []settings.Finding) error {
	for _, finding := range findings {
		fmt.Fprintln(w, finding)
	}

	return CountFindings(findings)
}

// CountFindings returns a usage error that counts findings, nil for none.
func CountFindings(findings []settings.Finding) error {
	switch len(findings) {
	case 0:
		return nil
	case 1:
		return Usage("there is 1 finding; nothing was applied")
	default:
		return Usage("there are %d findings; nothing was applied", len(findings))
	}
}
