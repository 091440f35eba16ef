// Package settings checks the operators' tree of settings and resolves what each workspace and service inherits.
package settings
