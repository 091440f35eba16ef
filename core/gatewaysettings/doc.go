// Package gatewaysettings decodes and validates the YAML file that enables and tunes optional parts of the gateway.
package gatewaysettings
