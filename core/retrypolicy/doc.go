// Package retrypolicy decides whether a request may be sent to another upstream after the outcome of an attempt.
package retrypolicy
