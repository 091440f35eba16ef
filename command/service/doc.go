// Package service lists the services of the settings in force.
package service
