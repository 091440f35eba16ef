package cmdutil

import (
	"fmt"
	"io"

	"cardamomward/core/settings"
)

// Findings prints findings one a line and returns a usage error that counts them, nil for none.
func Findings(w io.Writer, findings []settings.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	for _, finding := range findings {
		fmt.Fprintln(w, finding)
	}
	if len(findings) == 1 {
		return Usage("there is 1 finding; nothing was applied")
	}

	return Usage("there are %d findings; nothing was applied", len(findings))
}
