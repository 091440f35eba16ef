// Package pages checks that the operators' pages name what the code has.
package pages
