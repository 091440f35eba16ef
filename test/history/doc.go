// Package history runs programs as callers do, records what they saw and checks that it could have happened in some order.
package history
