// Package topicconsumer consumes one partition of a compacted topic: it lists the newest record of each key, then long-polls
// for further records.
package topicconsumer
