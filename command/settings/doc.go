// Package settings checks, publishes and shows the fleet's settings.
package settings
