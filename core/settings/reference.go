package settings

import (
	"fmt"
	"io"
	"strings"
)

const referenceIntro = `# Settings

This page is printed by ` + "`cardamomward settings schema`" + `, from the definitions that check the settings.
A workspace or a service inherits from its parent each key that is marked as inherited and that it does
not set itself. The parent is the entry that it nests in, or the one that its ` + "`parent`" + ` key names.
YAML anchors, aliases, merge keys and tags are findings.

`

// WriteReference writes a Markdown reference of all keys in the scopes, with their allowed values and defaults.
func WriteReference(w io.Writer, scopes []Scope) error {
	var b strings.Builder
	b.WriteString(referenceIntro)
	for i, scope := range scopes {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "## %s\n\n%s\n", scope.Name, scope.Doc)
		for j := range scope.Keys {
			writeKey(&b, &scope.Keys[j])
		}
	}
	_, err := io.WriteString(w, b.String())

	return err
}

func writeKey(b *strings.Builder, spec *Spec) {
	fmt.Fprintf(b, "\n### %s\n\n%s\n\n", spec.Name, spec.Doc)
	fmt.Fprintf(b, "- allowed: %s\n", spec.DescribeAllowed())
	switch {
	case spec.Required:
		b.WriteString("- default: none, the key is required\n")
	case spec.Default != "":
		fmt.Fprintf(b, "- default: %s\n", spec.Default)
	default:
		b.WriteString("- default: none\n")
	}
	if spec.Kind != "" {
		fmt.Fprintf(b, "- only for: services of kind %s\n", spec.Kind)
	}
	if spec.Inherited {
		b.WriteString("- inherited: yes\n")
	}
}
