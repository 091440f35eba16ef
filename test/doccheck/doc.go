// Package doccheck checks that the documentation agrees with the code: links, log events, metrics, error kinds and test names.
package doccheck
