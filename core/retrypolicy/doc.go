// Package retrypolicy decides whether a request may be sent to another upstream and what a caller is told otherwise.
package retrypolicy
