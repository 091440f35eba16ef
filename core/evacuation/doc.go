// Package evacuation keeps the failure domains that the operator evacuates: their upstreams get no new requests.
package evacuation
