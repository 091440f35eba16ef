// Package operatorapi is the operators' HTTP API: its server, its client and the JSON types for settings, API keys,
// programs, cluster status and state dumps.
package operatorapi
