// Package prompt estimates the tokens of the messages of a model call and hashes their prefixes.
package prompt
