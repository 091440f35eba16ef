package record

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// MaxVersion is the newest record version that this build applies.
const MaxVersion = 1

// MaxRecordsPerAppend is the maximum number of records in one append, because a position has 16 bits for the index of a
// record.
const MaxRecordsPerAppend = 1 << 16

// Record aliases the generated message so that callers need only this import.
type Record = recordpb.Record

var (
	errs = errorx.NewNamespace("record")

	// ErrCorrupt marks a payload that is not a batch of at most MaxRecordsPerAppend records.
	ErrCorrupt = errs.NewType("corrupt")
)

// New returns a record from host with a new random id and without a slot and epoch.
func New(host id.Host) *Record {
	return &Record{Version: MaxVersion, Id: id.NewRandom(), Host: string(host)}
}

// NewFenced returns a record from host that is valid only while epoch is the slot's current epoch (a fencing token).
func NewFenced(host id.Host, slot id.Slot, epoch id.Epoch) *Record {
	rec := New(host)
	rec.Slot = uint32(slot)
	rec.Epoch = uint64(epoch)

	return rec
}

// EncodeOne encodes a batch of one record; concatenated batches are one batch, so they can share an append.
func EncodeOne(rec *Record) ([]byte, error) {
	return Encode([]*Record{rec})
}

// Encode encodes records as the payload of one append.
func Encode(records []*Record) ([]byte, error) {
	return proto.Marshal(&recordpb.Batch{Records: records})
}

// Decode decodes the payload of one append. It returns ErrCorrupt if the payload is not a batch or has more than
// MaxRecordsPerAppend records.
func Decode(data []byte) ([]*Record, error) {
	var batch recordpb.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, ErrCorrupt.Wrap(err, "decode batch of %d bytes", len(data))
	}

	if len(batch.Records) > MaxRecordsPerAppend {
		return nil, ErrCorrupt.New("batch of %d records exceeds the limit of %d", len(batch.Records), MaxRecordsPerAppend)
	}

	return batch.Records, nil
}
