package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// expvarNamePattern matches the name of a variable that is published with expvar.
var expvarNamePattern = regexp.MustCompile(`expvar\.(?:New\w+|Publish)\("([^"]+)"`)

// TestMetricsPageListsAllExpvars checks that metrics.md has a section for each expvar variable.
func TestMetricsPageListsAllExpvars(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "operations", "metrics.md"))
	require.NoError(t, err)
	found := 0
	for _, file := range sourceFiles(t) {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, name := range expvarNamePattern.FindAllStringSubmatch(string(source), -1) {
			require.Contains(t, string(page), "\n## "+name[1]+"\n", "%s publishes a variable", file)
			found++
		}
	}
	require.Positive(t, found)
}
