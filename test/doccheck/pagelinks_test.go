package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// linkPattern matches the target of a link in a page.
var linkPattern = regexp.MustCompile(`\]\(([^)#]+)`)

// TestPageLinksResolveAndReadmeListsAllPages checks that links between pages point to existing files and that README.md links to each page.
func TestPageLinksResolveAndReadmeListsAllPages(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "*", "*.md"))
	require.NoError(t, err)
	top, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "*.md"))
	require.NoError(t, err)
	pages = append(pages, top...)
	readme := filepath.Join(moduleRoot, "README.md")
	named := make(map[string]bool)
	for _, page := range append(pages, readme) {
		for _, target := range linkTargets(t, page) {
			require.FileExists(t, target, "a link in %s", page)
			named[target] = named[target] || page == readme
		}
	}
	unnamed := slices.DeleteFunc(pages, func(page string) bool { return named[page] })
	require.Empty(t, unnamed, "README.md does not name these pages")
}

// linkTargets returns the files that a page links to.
func linkTargets(t *testing.T, page string) []string {
	t.Helper()
	source, err := os.ReadFile(page)
	require.NoError(t, err)
	var files []string
	for _, match := range linkPattern.FindAllStringSubmatch(string(source), -1) {
		target := filepath.Join(filepath.Dir(page), match[1])
		if info, err := os.Stat(target); err == nil && info.IsDir() || strings.Contains(match[1], "://") {
			continue
		}
		files = append(files, target)
	}

	return files
}
