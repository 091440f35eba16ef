// Package admission implements deadline-aware admission control: a call that would wait past its deadline is refused at
// once, with the time after which a retry is expected to succeed.
package admission
