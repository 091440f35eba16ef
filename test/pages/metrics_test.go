package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// published matches the name of a variable that the code gives to expvar.
var published = regexp.MustCompile(`expvar\.(?:New\w+|Publish)\("([^"]+)"`)

// TestMetricsPage checks that each variable of expvar has a section in the page.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "operations", "metrics.md"))
	require.NoError(t, err)
	found := 0
	for _, file := range sources(t) {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, name := range published.FindAllStringSubmatch(string(source), -1) {
			require.Contains(t, string(page), "\n## "+name[1]+"\n", "%s publishes a variable", file)
			found++
		}
	}
	require.Positive(t, found)
}
