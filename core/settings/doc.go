// Package settings parses and validates YAML settings documents, resolves inheritance between workspaces and between
// services, and prints the reference of all keys.
package settings
