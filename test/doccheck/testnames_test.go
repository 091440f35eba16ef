package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	testNamePattern     = regexp.MustCompile(`\bTest[A-Z]\w+…?`)
	testFunctionPattern = regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
)

// TestPagesNameOnlyExistingTests checks that each test named in a page exists.
func TestPagesNameOnlyExistingTests(t *testing.T) {
	defined := make(map[string]bool)
	named := make(map[string]string)
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		isTest, isPage := strings.HasSuffix(path, "_test.go"), strings.HasSuffix(path, ".md") || entry.Name() == "KNOWN-RED.txt"
		if !isTest && !isPage {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if isPage {
			for _, name := range testNamePattern.FindAllString(string(text), -1) {
				named[name] = path
			}

			return nil
		}
		for _, match := range testFunctionPattern.FindAllStringSubmatch(string(text), -1) {
			defined[match[1]] = true
		}

		return nil
	})
	require.NoError(t, err)
	var missing []string
	for name, page := range named {
		if !defined[name] {
			missing = append(missing, name+" in "+page)
		}
	}
	require.Empty(t, missing, "pages name tests that do not exist under that name")
}
