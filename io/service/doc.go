// Package service speaks to plain services beside the model engines.
package service
