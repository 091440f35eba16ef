// Package traffic counts the bytes that a host sends and receives, by cause and by whether they cross failure domains.
package traffic
