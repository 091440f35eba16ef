// Package patience decides how long to wait for an answer before asking again, from how long answers have taken.
package patience
