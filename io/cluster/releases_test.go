package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"cardamomward/core/affinity"
	"cardamomward/core/coldstart"
	"cardamomward/core/crashcount"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/streamorigin"
	"cardamomward/core/upstreamlimit"
	"cardamomward/core/workleft"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

// earlierRelease holds recordings of commit 392e86d, whose hosts run beside those of the current code during an upgrade: fleet.proto and
// its compiled descriptor, and for each recording its values as text and its bytes as that commit's definitions encode them.
const earlierRelease = "testdata/392e86d"

// deterministic makes equal messages have equal bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

// crashOfRecording is the crash that the recorded heartbeat reports.
var crashOfRecording = crashcount.Crash{Fingerprint: 0x123456789abcdef0, Process: "engine-3/1700000000000"}

var recordedMessagePattern = regexp.MustCompile(`^# proto-message: (\S+)\n`)

// recordedAt is the time of the recordings according to the times of day that they contain.
var recordedAt = time.UnixMilli(1700000002000)

func readRecording(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(earlierRelease, file))
	require.NoError(t, err)

	return data
}

// earlierDefinitions returns the earlier release's definitions of the messages.
func earlierDefinitions(t *testing.T) protoreflect.FileDescriptor {
	t.Helper()
	var definitions descriptorpb.FileDescriptorProto
	require.NoError(t, proto.Unmarshal(readRecording(t, "fleet.binpb"), &definitions))
	file, err := protodesc.NewFile(&definitions, nil)
	require.NoError(t, err)

	return file
}

// recordedMessages returns the names of the recordings with the message that each contains.
func recordedMessages(t *testing.T) map[string]protoreflect.FullName {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(earlierRelease, "*.txtpb"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	messages := make(map[string]protoreflect.FullName, len(files))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtpb")
		header := recordedMessagePattern.FindSubmatch(readRecording(t, name+".txtpb"))
		require.NotNil(t, header, name)
		messages[name] = protoreflect.FullName(header[1])
	}

	return messages
}

// newCurrentMessage returns an empty message of the current definitions.
func newCurrentMessage(t *testing.T, name protoreflect.FullName) proto.Message {
	t.Helper()
	messageType, err := protoregistry.GlobalTypes.FindMessageByName(name)
	require.NoError(t, err)

	return messageType.New().Interface()
}

// decodeRecording decodes a recording with the current definitions.
func decodeRecording[M proto.Message](t *testing.T, name string, message M) M {
	t.Helper()
	require.NoError(t, proto.Unmarshal(readRecording(t, name+".binpb"), message))

	return message
}

// visitMessages calls visit for a message and all messages in it.
func visitMessages(message protoreflect.Message, visit func(protoreflect.Message)) {
	visit(message)
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				visitMessages(value.List().Get(i).Message(), visit)
			}
		default:
			visitMessages(value.Message(), visit)
		}

		return true
	})
}

// Guards against recordings that are not those of the earlier release, and against fields that none of them covers.
func TestRecordingsAreEncodedWithEarlierDefinitions(t *testing.T) {
	definitions := earlierDefinitions(t)
	missing := make(map[protoreflect.FullName]bool)
	for i := range definitions.Messages().Len() {
		fields := definitions.Messages().Get(i).Fields()
		for j := range fields.Len() {
			missing[fields.Get(j).FullName()] = true
		}
	}
	for name, messageName := range recordedMessages(t) {
		message := dynamicpb.NewMessage(definitions.Messages().ByName(messageName.Name()))
		require.NoError(t, prototext.Unmarshal(readRecording(t, name+".txtpb"), message), name)
		data, err := deterministic.Marshal(message)
		require.NoError(t, err)
		require.Equal(t, data, readRecording(t, name+".binpb"), name)
		visitMessages(message, func(m protoreflect.Message) {
			m.Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
				delete(missing, field.FullName())

				return true
			})
		})
	}
	require.Empty(t, slices.Sorted(maps.Keys(missing)), "no recording contains these fields")
}

// Guards against a field, message or value of the earlier release that the current definitions drop or give another meaning.
func TestMessagesOfEarlierReleaseAreDecodedWithoutLoss(t *testing.T) {
	for name, messageName := range recordedMessages(t) {
		t.Run(name, func(t *testing.T) {
			message := decodeRecording(t, name, newCurrentMessage(t, messageName))
			visitMessages(message.ProtoReflect(), func(m protoreflect.Message) {
				require.Empty(t, m.GetUnknown(), "%s has fields that are not defined any more", m.Descriptor().FullName())
			})
			want := message.ProtoReflect().New().Interface()
			require.NoError(t, prototext.Unmarshal(readRecording(t, name+".txtpb"), want), "a field or value has another name or type")
			require.Empty(t, cmpMessages(want, message))
			data, err := deterministic.Marshal(message)
			require.NoError(t, err)
			require.Equal(t, readRecording(t, name+".binpb"), data)
		})
	}
}

// cmpMessages returns a description of the difference between two messages, empty if they are equal.
func cmpMessages(want, got proto.Message) string {
	if proto.Equal(want, got) {
		return ""
	}

	return fmt.Sprintf("want %v, got %v", want, got)
}

// fillMessage sets all fields of a message, of each oneof the given member, and returns the highest number of members of a oneof.
func fillMessage(message protoreflect.Message, member int, next *int64) (members int) {
	members = 1
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if oneof := field.ContainingOneof(); oneof != nil {
			members = max(members, oneof.Fields().Len())
			if oneof.Fields().Get(member%oneof.Fields().Len()) != field {
				continue
			}
		}
		switch {
		case field.IsList():
			list := message.Mutable(field).List()
			for range 2 {
				if field.Message() != nil {
					fillMessage(list.AppendMutable().Message(), member, next)
				} else {
					list.Append(nextValue(field, next))
				}
			}
		case field.Message() != nil:
			members = max(members, fillMessage(message.Mutable(field).Message(), member, next))
		default:
			message.Set(field, nextValue(field, next))
		}
	}

	return members
}

// nextValue returns a value of a field that differs from that of the previous field, where its type allows that.
func nextValue(field protoreflect.FieldDescriptor, next *int64) protoreflect.Value {
	*next++
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(field.Enum().Values().Get(int(*next)%(field.Enum().Values().Len()-1) + 1).Number())
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(*next))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(*next))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(*next) / 2)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("%s-%d", field.Name(), *next))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "%s-%d", field.Name(), *next))
	default:
		return protoreflect.ValueOfInt64(*next)
	}
}

// clearNewFields removes the fields that a message's earlier definition lacks, in the messages in it too.
func clearNewFields(message protoreflect.Message, earlier protoreflect.MessageDescriptors) {
	visitMessages(message, func(m protoreflect.Message) {
		definition := earlier.ByName(m.Descriptor().Name())
		m.Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
			if definition == nil || definition.Fields().ByName(field.Name()) == nil {
				m.Clear(field)
			}

			return true
		})
	})
}

// Guards against fields of current messages that hosts of the earlier release read as something else, or that make them drop a message.
func TestEarlierReleaseLosesOnlyNewFieldsOfCurrentMessages(t *testing.T) {
	earlier := earlierDefinitions(t).Messages()
	for i := range earlier.Len() {
		definition := earlier.Get(i)
		t.Run(string(definition.Name()), func(t *testing.T) {
			var next int64
			for member, members := 0, 1; member < members; member++ {
				message := newCurrentMessage(t, definition.FullName())
				members = fillMessage(message.ProtoReflect(), member, &next)
				requireOnlyNewFieldsLost(t, message, definition)
			}
		})
	}
}

// requireOnlyNewFieldsLost decodes a message with its earlier definition, and checks that this has all fields except for new ones.
func requireOnlyNewFieldsLost(t *testing.T, message proto.Message, definition protoreflect.MessageDescriptor) *dynamicpb.Message {
	t.Helper()
	data, err := proto.Marshal(message)
	require.NoError(t, err)
	decoded := dynamicpb.NewMessage(definition)
	require.NoError(t, proto.Unmarshal(data, decoded))
	visitMessages(decoded, func(m protoreflect.Message) {
		known := newCurrentMessage(t, m.Descriptor().FullName()).ProtoReflect().Descriptor().Fields()
		for unknown := m.GetUnknown(); len(unknown) > 0; {
			number, _, size := protowire.ConsumeField(unknown)
			require.Positive(t, size)
			require.NotNil(t, known.ByNumber(number))
			require.Nil(t, m.Descriptor().Fields().ByNumber(number), "field %d of %s changed its encoding", number, m.Descriptor().FullName())
			unknown = unknown[size:]
		}
	})
	want := proto.Clone(message)
	clearNewFields(want.ProtoReflect(), definition.ParentFile().Messages())
	text, err := prototext.Marshal(want)
	require.NoError(t, err)
	expected := dynamicpb.NewMessage(definition)
	require.NoError(t, prototext.Unmarshal(text, expected), "a field or value has another name or type")
	visitMessages(decoded, func(m protoreflect.Message) { m.SetUnknown(nil) })
	require.Empty(t, cmpMessages(expected, decoded))

	return decoded
}

// Guards against calls that a host of the other release does not offer, and against outcomes that it takes for others.
func TestCallsAndOutcomesOfEarlierReleaseAreKept(t *testing.T) {
	earlier, current := earlierDefinitions(t), fleetpb.File_io_fleet_fleetpb_fleet_proto
	require.Equal(t, earlier.Package(), current.Package())
	for i := range earlier.Services().Len() {
		service := earlier.Services().Get(i)
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			kept := current.Services().ByName(service.Name()).Methods().ByName(method.Name())
			require.NotNil(t, kept, method.FullName())
			require.Equal(t, method.Input().FullName(), kept.Input().FullName())
			require.Equal(t, method.Output().FullName(), kept.Output().FullName())
		}
	}
	for i := range earlier.Enums().Len() {
		values := earlier.Enums().Get(i).Values()
		for j := range values.Len() {
			kept := current.Enums().ByName(earlier.Enums().Get(i).Name()).Values().ByNumber(values.Get(j).Number())
			require.NotNil(t, kept, values.Get(j).FullName())
			require.Equal(t, values.Get(j).Name(), kept.Name())
		}
	}
}

// receiveRecording makes a host handle a recorded datagram.
func (c *Cluster) receiveRecording(t *testing.T, name string, now time.Time) {
	t.Helper()
	c.peers.handleHeartbeat(now, decodeRecording(t, name, &fleetpb.Beat{}))
}

// Guards against heartbeats of the earlier release of which a part has no effect.
func TestHeartbeatOfEarlierReleaseTakesEffect(t *testing.T) {
	c, _ := newTestCluster(t)
	c.EnableWork()
	addPeers(c, 2)
	now := time.Now()
	evicted := &peer{hostEntry: hostEntry{PeerAddress: "10.0.0.8:7780"}}
	c.peers.byHost["host-8"] = evicted
	c.receiveRecording(t, "heartbeat", now)
	c.peers.buildHeartbeat(now)
	sender := c.peers.byHost["host-1"]
	require.EqualValues(t, 1234, sender.lastSequence)
	require.Equal(t, now, sender.lastHeardAt)
	require.Equal(t, now.Add(-250*time.Millisecond), sender.storeRespondedAt)
	require.True(t, sender.isDraining)
	require.True(t, sender.hasBeenMember)
	require.True(t, sender.isPartitioned)
	require.False(t, sender.hasLeft)
	require.True(t, evicted.isEvicted)
	require.Equal(t, &ownership{generation: 7, owners: []string{"10.0.0.9:7780"}}, c.ownership.Load())
	require.Equal(t, 3, c.RunningRequests("engine-1"))
	require.Equal(t, 1, c.RunningRequests("engine-2"))
	require.Zero(t, c.PeerErrors("engine-1"), "the earlier release reports no errors")
	require.Equal(t, 3, c.UpstreamWork(&registry.Instance{ID: "engine-1"}, 0).Running)
	require.True(t, c.CachesPromptPart("engine-1", affinity.PromptPartHash(42)))
	require.True(t, c.CachesPromptPart("engine-1", affinity.PromptPartHash(0x0123456789abcdef)))
	require.False(t, c.CachesPromptPart("engine-2", affinity.PromptPartHash(42)))
	require.False(t, c.crashCounter.Record(now, crashOfRecording), "the crash has been counted")
	c.receiveRecording(t, "heartbeat-left", now)
	require.True(t, sender.hasLeft)
	require.Zero(t, len(sender.runningRequests), "the next heartbeat replaces the loads")
}

// Guards against stream origins and limits of upstreams that the current code does not learn from hosts of the earlier release.
func TestReportsOfEarlierReleaseTakeEffect(t *testing.T) {
	c, _ := newTestCluster(t)
	wantOrigin := streamorigin.Origin{
		Service: "engines", Upstream: "engine-1", Incarnation: 1700000000000, Version: "1.4", StartedAt: time.UnixMilli(1700000001000),
	}
	c.receiveRecording(t, "stream-origins", recordedAt)
	origin, ok := c.lookupStreamOrigin("attempt-1")
	require.True(t, ok)
	require.NotZero(t, origin.ObservedAt, "the receiver adds when it learned of the origin")
	origin.ObservedAt = time.Time{}
	require.Equal(t, wantOrigin, origin)
	require.Equal(t, wantOrigin, decodeStreamOrigin(decodeRecording(t, "find-stream-reply", &fleetpb.FindStreamReply{}).Origin))
	reply, err := (&slotServer{cluster: c}).FindStream(t.Context(), decodeRecording(t, "find-stream-request", &fleetpb.FindStreamRequest{}))
	require.NoError(t, err)
	require.Equal(t, wantOrigin, decodeStreamOrigin(reply.Origin))
	c.receiveRecording(t, "upstream-limits", recordedAt)
	limit, isLimited := c.upstreamLimit("engine-1", 1700000000000)
	require.True(t, isLimited)
	require.InDelta(t, 12.5, limit.Rate, 0)
	require.Equal(t, recordedAt.Add(-300*time.Millisecond), limit.ReceivedAt)
}

// Guards against calls of hosts of the earlier release that an owner of the current code answers otherwise than one of theirs.
func TestOwnerServesCallsOfEarlierRelease(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	srv := &slotServer{cluster: c}
	begin := decodeRecording(t, "begin-turn-request", &fleetpb.BeginTurnRequest{})
	begun, err := srv.BeginTurn(t.Context(), begin)
	require.NoError(t, err)
	require.Empty(t, cmpMessages(&fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Mark: begun.Mark, Durable: begun.Durable}, begun))
	require.GreaterOrEqual(t, begun.Mark, begin.MaxTokens)
	stored, err := srv.EndTurn(t.Context(), decodeRecording(t, "end-turn-request", &fleetpb.EndTurnRequest{}))
	require.NoError(t, err)
	require.Empty(t, cmpMessages(decodeRecording(t, "end-turn-reply", &fleetpb.EndTurnReply{}), stored))
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"turn-2"))
	begin.Attempt, begin.MaxTokens = "attempt-2", 800
	begun, err = srv.BeginTurn(t.Context(), begin)
	require.NoError(t, err)
	require.Equal(t, fleetpb.Outcome_OUTCOME_SPENT, begun.Outcome, "250 of 1,000 tokens are spent")
	require.Equal(t, "engine-1", begun.Last)
	require.EqualValues(t, 700, begun.Kept)
	require.True(t, begun.Begun)
	found, err := srv.FindTurn(t.Context(), decodeRecording(t, "find-turn-request", &fleetpb.FindTurnRequest{}))
	require.NoError(t, err)
	require.Equal(t, "turn-1;done\nturn-2;done\n", string(found.Chain))
	_, err = srv.Hold(t.Context(), decodeRecording(t, "hold-request", &fleetpb.HoldRequest{}))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"turn-1") }, testTimeout, 10*time.Millisecond)
	admitted, err := srv.Admit(t.Context(), decodeRecording(t, "admit-request", &fleetpb.AdmitRequest{}))
	require.NoError(t, err)
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, admitted.Outcome)
	admitted, err = srv.AdmitToUpstream(t.Context(), decodeRecording(t, "admit-to-upstream-request", &fleetpb.AdmitToUpstreamRequest{}))
	require.NoError(t, err)
	require.Empty(t, cmpMessages(&fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, RetryMillis: 80}, admitted), "one request in 80 ms")
}

// Guards against turns and budgets in the store, or in the memory of hosts of the earlier release, that a new owner does not restore.
func TestStateOfEarlierReleaseIsRestored(t *testing.T) {
	c, _ := newTestCluster(t)
	s := c.slots[0]
	var stored storedRecords
	restore := func(key, name string) {
		require.NoError(t, stored.add(platform.Record{Key: key, Value: readRecording(t, name+".binpb")}, c.turnMemory))
		s.restore(recordedAt, &stored)
	}
	hasTurn := func(turn string) bool {
		transcript, ok := s.turns.Transcript(testWorkspace, turn)

		return ok && strings.HasSuffix(string(transcript), turn+";done\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	restore("bprogram", "record-budget")
	require.Equal(t, id.Tokens(650), s.ledger.Count("program").Tokens)
	require.Equal(t, recordedAt, s.newestRecordAt)
	restore("tturn-1", "record-turn")
	require.True(t, hasTurn("turn-1"))
	restore("p0:turn-2", "record-turn-part-0")
	require.False(t, hasTurn("turn-2"), "a part is missing")
	restore("p1:turn-2", "record-turn-part-1")
	require.True(t, hasTurn("turn-2"))
	s.discardState()
	memory := inMemoryState{members: []string{testOwner}, replies: []*fleetpb.RecallReply{decodeRecording(t, "recall-reply", &fleetpb.RecallReply{})}}
	s.mergeInMemoryState(recordedAt, memory.replies, s.cluster.fetchHeldTurns(t.Context(), s.index, memory, nil))
	require.Equal(t, id.Tokens(900), s.ledger.Count("program").Tokens)
	require.True(t, hasTurn("turn-1"))
}

// earlierHostEntry is the earlier release's definition of a host's entry in the store.
type earlierHostEntry struct {
	CallerAddress string           `json:"callers"`
	PeerAddress   string           `json:"peer"`
	RelayAddress  string           `json:"relay"`
	FailureDomain id.FailureDomain `json:"failure-domain"`
	CPUCores      float64          `json:"cpu-share"`
}

// Guards against entries in the list of hosts that one of the two releases drops or misreads.
func TestHostEntriesAreUnderstoodByBothReleases(t *testing.T) {
	c, _ := newTestCluster(t)
	recorded := readRecording(t, "host-entry.json")
	c.peers.applyRecord(platform.Record{Key: "old", Value: recorded})
	require.Contains(t, c.peers.byHost, id.Host("old"))
	want := earlierHostEntry{
		CallerAddress: "10.0.0.2:80", PeerAddress: "10.0.0.2:7780", RelayAddress: "10.0.0.2:7781", FailureDomain: "y", CPUCores: 0.2,
	}
	require.Equal(t, hostEntry{
		CallerAddress: want.CallerAddress, PeerAddress: want.PeerAddress, RelayAddress: want.RelayAddress, FailureDomain: want.FailureDomain, CPUCores: want.CPUCores,
	}, c.peers.byHost["old"].hostEntry)
	encoded, err := json.Marshal(want)
	require.NoError(t, err)
	require.JSONEq(t, string(recorded), string(encoded), "the recording is not of the earlier definition")
	value, err := json.Marshal(hostEntry{
		CallerAddress: want.CallerAddress, PeerAddress: want.PeerAddress, RelayAddress: want.RelayAddress, FailureDomain: want.FailureDomain, CPUCores: want.CPUCores,
		LinkBytesPerSecond: 75e6,
	})
	require.NoError(t, err)
	var decoded earlierHostEntry
	require.NoError(t, json.Unmarshal(value, &decoded))
	require.Equal(t, want, decoded)
}

// Guards against datagrams of the current code that hosts of the earlier release misread: those without a host's name would replace
// the sender's loads if they had one, and their generation is that of the sender's slots.
func TestEarlierReleaseUnderstandsDatagramsOfCurrentHost(t *testing.T) {
	definition := earlierDefinitions(t).Messages().ByName("Beat")
	c, _ := newTestCluster(t)
	c.ReportWorkspaceLoads()
	c.UpstreamErrors = func() map[id.Upstream]float64 { return map[id.Upstream]float64{"engine": 2} }
	addPeers(c, 1)
	c.AddRunningRequests(engine.ID, 3)
	c.AddWorkspaceRequests("workspace", engine.Service, 3)
	c.BeginWork(engine, workleft.Work{OutputTokens: 400, MillisPerToken: 2})
	c.RecordUpstreamLimit(upstreamlimit.Statement{Upstream: engine.ID, Incarnation: 5, IsLimited: true, Rate: 3, ReceivedAt: c.Now()})
	c.RecordCold(engine, time.Second, coldPolicy, coldstart.FromResponse)
	c.RecordLeaving(engine)
	now := c.Now()
	data := c.peers.buildHeartbeat(now)
	var heartbeat fleetpb.Beat
	require.NoError(t, proto.Unmarshal(data, &heartbeat))
	require.NotEmpty(t, heartbeat.Workspaces)
	decoded := requireOnlyNewFieldsLost(t, &heartbeat, definition)
	require.Equal(t, "127.0.0.1", decoded.Get(definition.Fields().ByName("host")).String())
	loads := decoded.Get(definition.Fields().ByName("loads")).List()
	require.Equal(t, 1, loads.Len())
	require.EqualValues(t, 3, loads.Get(0).Message().Get(loads.Get(0).Message().Descriptor().Fields().ByName("running")).Int())
	for name, data := range map[string][]byte{"limits": c.peers.buildLimits(now), "leaving": c.peers.buildLeaving(now)} {
		require.NotEmpty(t, data, name)
		var report fleetpb.Beat
		require.NoError(t, proto.Unmarshal(data, &report))
		decoded := requireOnlyNewFieldsLost(t, &report, definition)
		decoded.Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
			require.Equal(t, protoreflect.Name("limits"), field.Name())

			return true
		})
	}
}

// earlierOwner answers as an owner of the earlier release does that has no limit of the upstream; it ignores that this is cold.
type earlierOwner struct{ fleetpb.Slots }

func (earlierOwner) AdmitToUpstream(context.Context, *fleetpb.AdmitToUpstreamRequest) (*fleetpb.AdmitReply, error) {
	return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: 1}, nil
}

// Guards against requests to a cold upstream that an owner of the earlier release admits without a bound, since it reads a request
// that names only a cold upstream as one for an upstream without a limit.
func TestHostKeepsToItsShareIfOwnerOfEarlierReleaseIgnoresColdUpstream(t *testing.T) {
	c, store := newTestCluster(t)
	addPeers(c, 11)
	instance := coldInstance()
	c.RecordRegistration(instance, 0, coldPolicy)
	srv := httptest.NewServer(fleetpb.NewSlotsServer(earlierOwner{}))
	t.Cleanup(srv.Close)
	store.mu.Lock()
	store.member = srv.Listener.Addr().String()
	store.mu.Unlock()
	c.setOwnership(&ownership{generation: 1, owners: []string{store.member}})
	most, _ := admitAll([]*Cluster{c}, instance, time.Second)
	require.LessOrEqual(t, most, int(maxColdAdmissions)/12+1)
}

// Guards against hosts that keep to their share although an owner of the current code has admitted the request.
func TestOwnerConfirmsThatItHasReadColdUpstream(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	awaitAdmission := func(ask func() (*fleetpb.AdmitReply, error)) {
		for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			require.True(t, time.Now().Before(deadline), "no request was admitted")
			reply, err := ask()
			require.NoError(t, err)
			require.Positive(t, reply.RetryMillis)
			if reply.Allowed > 0 {
				return
			}
		}
	}
	for _, cold := range []*fleetpb.ColdUpstream{
		{Upstream: "cold", Incarnation: 1, RemainingMillis: 3000, Rate: 24}, {Upstream: "cold until now", Incarnation: 1, Rate: 24},
	} {
		awaitAdmission(func() (*fleetpb.AdmitReply, error) {
			return (&slotServer{cluster: c}).AdmitToUpstream(t.Context(), &fleetpb.AdmitToUpstreamRequest{Cold: cold})
		})
	}
}
