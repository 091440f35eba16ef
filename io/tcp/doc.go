// Package tcp tells connections that have ended from connections that were reset.
package tcp
