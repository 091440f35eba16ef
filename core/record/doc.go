// Package record encodes and decodes the batches of records that hosts append to the platform's log.
package record
