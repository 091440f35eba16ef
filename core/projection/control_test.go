package projection_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

type controlGenerator struct {
	t       *rapid.T
	records []*record.Record
	applier projection.Applier[*projection.Control]
}

func (s *controlGenerator) encode(index int) []byte {
	data, err := record.EncodeOne(s.records[index])
	if err != nil {
		s.t.Fatal(err)
	}

	return data
}

func (s *controlGenerator) add(rec *record.Record) projection.ApplyResult {
	s.records = append(s.records, rec)
	index := len(s.records) - 1

	return s.applier.ApplyAppend(id.Offset(index), s.encode(index))[0]
}

func (s *controlGenerator) drawRecord() *record.Record {
	rec := record.New("host-1")
	rec.Id = fmt.Sprintf("r%d", len(s.records))
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(s.t, "key")
	switch rapid.SampledFrom([]string{"publish", "publish", "issue", "withdraw", "crash", "copy", "snapshot"}).Draw(s.t, "kind") {
	case "publish":
		history := append([]projection.SettingsVersion{{}}, s.applier.State.SettingsHistory()...)
		base := history[max(0, len(history)-rapid.IntRange(1, 2).Draw(s.t, "back"))]
		rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
			Base: uint64(base.Version), Document: rec.GetId(),
		}}
	case "issue":
		rec.Body = &recordpb.Record_KeyIssue{KeyIssue: &recordpb.KeyIssue{
			Key: key, Workspace: "w", Salt: []byte("salt"), Hash: projection.HashSecret([]byte("salt"), "secret"),
		}}
	case "withdraw":
		rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: key}}
	case "crash":
		rec.Body = &recordpb.Record_Crash{Crash: &recordpb.Crash{
			Fingerprint: 7, Upstream: "u", Run: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(s.t, "run"),
		}}
	case "snapshot":
		data, err := proto.Marshal(s.applier.State.Snapshot(s.applier.NextOffset()))
		if err != nil {
			s.t.Fatal(err)
		}
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: rec.GetId(), Count: 1, Next: uint64(s.applier.NextOffset()), Data: data,
		}}
	default:
		if len(s.records) > 0 {
			return s.records[rapid.IntRange(0, len(s.records)-1).Draw(s.t, "copied")]
		}
		rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: key}}
	}

	return rec
}

// Settings are published only on top of the version in force, a withdrawn key stays withdrawn, and a state that is
// restored from a snapshot equals the state of a full replay.
func TestControlInvariants(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &controlGenerator{t: t, applier: projection.Applier[*projection.Control]{State: &projection.Control{}}}
		state := s.applier.State
		withdrawn := make(map[id.APIKey]bool)
		for range generatedRecordCount {
			before := state.Settings().Version
			rec := s.drawRecord()
			result := s.add(rec)
			publish := rec.GetSettingsPublish()
			switch {
			case publish != nil && result.Valid():
				require.Equal(t, before, id.Position(publish.GetBase()), "published on a version that was not in force")
				require.Equal(t, result.Position, state.Settings().Version)
			default:
				require.Equal(t, before, state.Settings().Version, "the settings changed without a publish")
			}
			if result.Valid() && rec.GetKeyWithdraw() != nil {
				key, ok := state.APIKey(id.APIKey(rec.GetKeyWithdraw().GetKey()))
				require.True(t, ok && key.Withdrawn, "a withdrawal takes effect at once")
			}
			for _, key := range state.APIKeys() {
				require.False(t, withdrawn[key.ID] && !key.Withdrawn, "key %s is no longer withdrawn", key.ID)
				withdrawn[key.ID] = key.Withdrawn
				_, ok := state.Authenticate(key.ID, "secret")
				require.Equal(t, !key.Withdrawn, ok)
			}
		}
		want := encodeControlState(t, state, s.applier.NextOffset())
		for first := 1; first < len(s.records); first += 5 {
			late := projection.Applier[*projection.Control]{State: &projection.Control{}}
			for offset := first; offset < len(s.records); offset++ {
				late.ApplyAppend(id.Offset(offset), s.encode(offset))
			}
			if late.State.Ready() {
				require.Equal(t, want, encodeControlState(t, late.State, late.NextOffset()), "read from offset %d", first)
				restored++
			}
		}
	})
	require.Positive(t, restored)
	t.Logf("%d restored states compared", restored)
}

func encodeControlState(t *rapid.T, state *projection.Control, next id.Offset) string {
	snapshot := state.Snapshot(next)
	snapshot.Voids = nil
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	require.NoError(t, err)

	return string(data)
}

func TestSettingsHistoryIsBounded(t *testing.T) {
	const documentBytes = 1 << 20
	applier := projection.Applier[*projection.Control]{State: &projection.Control{}}
	for i := range 20 {
		rec := record.New("host-1")
		rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
			Base: uint64(applier.State.Settings().Version), Document: string(make([]byte, documentBytes)),
		}}
		data, err := record.EncodeOne(rec)
		require.NoError(t, err)
		require.True(t, applier.ApplyAppend(id.Offset(i), data)[0].Valid())
	}
	require.Len(t, applier.State.SettingsHistory(), 5)
	require.Equal(t, id.Offset(19), applier.State.Settings().Version.Offset())
}
