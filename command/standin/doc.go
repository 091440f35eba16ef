// Package standin contains the commands that run stand-ins of the platform's services and of upstreams.
package standin
