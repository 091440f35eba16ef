// Package standin runs stand-ins of the platform's services and of upstreams.
package standin
