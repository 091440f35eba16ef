// Package service is a stand-in for a plain service that records the calls it executed, with fault injection.
package service
