package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/apierror"
	"cardamomward/io/peer/peerpb"
)

// Turns runs model turns at the owner of their program.
type Turns interface {
	// Turn runs a turn and calls visit with each piece of the answer before it returns the outcome.
	Turn(ctx context.Context, req *peerpb.TurnRequest, visit func(delta string) error) (*peerpb.TurnOutcome, error)
}

// Owner is all that the owner of a slot does, here or at another host.
type Owner interface {
	peerpb.Owner
	Turns
}

// Event types of a streamed turn.
const (
	eventDelta   = "delta"
	eventOutcome = "outcome"
	eventError   = "error"
)

const (
	// turnPath is where a host takes streamed turns from the others.
	turnPath = "/turns"
	// maxEvent bounds one event of a streamed turn, in bytes.
	maxEvent = 32 << 20
	// heartbeatInterval is how often a quiet stream shows that it is alive.
	heartbeatInterval = time.Second
	// streamSilence is how long a stream may stay without any event or heartbeat.
	streamSilence = 4 * time.Second
)

// serveTurn answers a streamed turn; comments keep the stream alive while the call waits.
func serveTurn(turns Turns) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var req peerpb.TurnRequest
		if err := proto.Unmarshal(c.Request.Body(), &req); err != nil {
			c.AbortWithStatus(http.StatusBadRequest)

			return
		}
		traffic.Add(metricTurnsReceived, 1)
		ctx, cancel := withDeadline(ctx, req.GetCaller())
		defer cancel()
		runTurn(ctx, cancel, turns, &req, sse.NewWriter(c))
	}
}

type turnResult struct {
	outcome *peerpb.TurnOutcome
	err     error
}

func runTurn(ctx context.Context, cancel context.CancelFunc, turns Turns, req *peerpb.TurnRequest, writer *sse.Writer) {
	deltas := make(chan string)
	done := make(chan turnResult, 1)
	go func() {
		outcome, err := turns.Turn(ctx, req, func(delta string) error {
			select {
			case deltas <- delta:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		done <- turnResult{outcome, err}
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case delta := <-deltas:
			err = writer.WriteEvent("", eventDelta, mustJSON(delta))
		case <-ticker.C:
			err = writer.WriteComment("alive")
		case result := <-done:
			writeResult(writer, result)

			return
		}
		if err != nil {
			// The entry host is gone: the turn is cancelled and its end awaited.
			cancel()
			<-done

			return
		}
	}
}

func writeResult(writer *sse.Writer, result turnResult) {
	if result.err != nil {
		writer.WriteEvent("", eventError, mustJSON(apierror.From(result.err).Body())) //nolint:errcheck // the reader may be gone

		return
	}
	data, err := protojson.Marshal(result.outcome)
	if err != nil {
		writer.WriteEvent("", eventError, mustJSON(apierror.From(err).Body())) //nolint:errcheck // the reader may be gone

		return
	}
	writer.WriteEvent("", eventOutcome, data) //nolint:errcheck // the reader may be gone
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	return data
}

// Turn runs a turn at the remote owner.
func (r *Remote) Turn(
	ctx context.Context, req *peerpb.TurnRequest, visit func(delta string) error,
) (*peerpb.TurnOutcome, error) {
	traffic.Add(metricTurnsSent, 1)
	setDeadline(ctx, req.GetCaller())
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamSilence, func() {
		cancel(unreachable(fmt.Errorf("no heartbeat within %s", streamSilence)))
	})
	defer watchdog.Stop()

	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, r.base+turnPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(httpReq)
	if err != nil {
		return nil, r.streamError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, unreachable(fmt.Errorf("status %d", resp.StatusCode))
	}
	outcome, err := readTurn(resp.Body, func() { watchdog.Reset(streamSilence) }, visit)
	if err != nil {
		return nil, r.streamError(ctx, err)
	}

	return outcome, nil
}

// streamError prefers the reason for which the stream was cancelled.
func (r *Remote) streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	var refused *apierror.Error
	if refused = apierror.From(err); refused.Kind != apierror.Internal {
		return refused
	}

	return unreachable(err)
}

// readTurn reads the events of a turn up to its outcome.
func readTurn(body io.Reader, alive func(), visit func(string) error) (*peerpb.TurnOutcome, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEvent)
	event := ""
	for scanner.Scan() {
		alive()
		line := scanner.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			event = string(bytes.TrimSpace(name))

			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		outcome, err := readEvent(event, bytes.TrimSpace(data), visit)
		if outcome != nil || err != nil {
			return outcome, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}

	return nil, io.ErrUnexpectedEOF
}

func readEvent(event string, data []byte, visit func(string) error) (*peerpb.TurnOutcome, error) {
	switch event {
	case eventDelta:
		var delta string
		if err := json.Unmarshal(data, &delta); err != nil {
			return nil, err
		}

		return nil, visit(delta)
	case eventError:
		var body apierror.Body
		if err := json.Unmarshal(data, &body); err != nil {
			return nil, err
		}

		return nil, body.ToError()
	case eventOutcome:
		var outcome peerpb.TurnOutcome
		if err := protojson.Unmarshal(data, &outcome); err != nil {
			return nil, err
		}

		return &outcome, nil
	default:
		return nil, nil //nolint:nilnil // an event of a later version is passed over
	}
}
