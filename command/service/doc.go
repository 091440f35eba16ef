// Package service contains the command that lists the services of the published settings.
package service
