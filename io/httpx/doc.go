// Package httpx starts HTTP servers, answers JSON and sends JSON requests in one manner for all of the system's interfaces.
package httpx
