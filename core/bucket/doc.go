// Package bucket keeps each workspace within its rate and burst over all hosts together.
package bucket
