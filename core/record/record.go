package record

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// MaxVersion is the newest record version that this build folds.
const MaxVersion = 1

// MaxRecordsPerAppend bounds the records of one append, as a position has 16 bits for their index.
const MaxRecordsPerAppend = 1 << 16

// Record aliases the generated message so that callers need one import.
type Record = recordpb.Record

var (
	errs = errorx.NewNamespace("record")

	// ErrCorrupt marks a payload that is not a batch of records.
	ErrCorrupt = errs.NewType("corrupt")
)

// New returns an unfenced record from host with a fresh id.
func New(host id.Host) *Record {
	return &Record{Version: MaxVersion, Id: id.NewRandom(), Host: string(host)}
}

// NewFenced returns a record from host that counts only while epoch is the slot's epoch.
func NewFenced(host id.Host, slot id.Slot, epoch id.Epoch) *Record {
	rec := New(host)
	rec.Slot = uint32(slot)
	rec.Epoch = uint64(epoch)

	return rec
}

// EncodeOne returns a record as a part of a batch: parts that are joined are the payload of one append.
func EncodeOne(rec *Record) ([]byte, error) {
	return Encode([]*Record{rec})
}

// Encode returns the payload of one append.
func Encode(records []*Record) ([]byte, error) {
	return proto.Marshal(&recordpb.Batch{Records: records})
}

// Decode returns the records of one append, or ErrCorrupt.
func Decode(data []byte) ([]*Record, error) {
	var batch recordpb.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, ErrCorrupt.Wrap(err, "decode batch of %d bytes", len(data))
	}

	if len(batch.Records) > MaxRecordsPerAppend {
		return nil, ErrCorrupt.New("batch of %d records, at most %d", len(batch.Records), MaxRecordsPerAppend)
	}

	return batch.Records, nil
}
