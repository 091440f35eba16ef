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

// TurnRunner runs turns at the owner of their program.
type TurnRunner interface {
	// RunTurn runs a turn, calls onDelta with each part of the answer and returns the outcome.
	RunTurn(ctx context.Context, req *peerpb.TurnRequest, onDelta func(delta string) error) (*peerpb.TurnOutcome, error)
}

// SlotOwner is the service of the owner of a slot, which is this host or another one.
type SlotOwner interface {
	peerpb.Owner
	TurnRunner
}

// Event types of a streamed turn.
const (
	eventDelta   = "delta"
	eventOutcome = "outcome"
	eventError   = "error"
)

const (
	// turnPath is the path of streamed turns.
	turnPath = "/turns"
	// maxEventBytes bounds one event of a streamed turn.
	maxEventBytes = 32 << 20
	// streamKeepaliveInterval is the interval of a stream's keepalive comments.
	streamKeepaliveInterval = time.Second
	// streamSilenceTimeout is the time limit between events or keepalives of a stream.
	streamSilenceTimeout = 4 * time.Second
)

// handleTurnRequest runs a turn and streams its events; comments keep the connection alive while the call waits.
func handleTurnRequest(runner TurnRunner) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var req peerpb.TurnRequest
		if err := proto.Unmarshal(c.Request.Body(), &req); err != nil {
			c.AbortWithStatus(http.StatusBadRequest)

			return
		}
		trafficCounters.Add(metricTurnsReceived, 1)
		ctx, cancel := contextWithDeadline(ctx, req.GetCaller())
		defer cancel()
		streamTurn(ctx, cancel, runner, &req, sse.NewWriter(c))
	}
}

type turnResult struct {
	outcome *peerpb.TurnOutcome
	err     error
}

func streamTurn(ctx context.Context, cancel context.CancelFunc, runner TurnRunner, req *peerpb.TurnRequest, writer *sse.Writer) {
	deltas := make(chan string)
	done := make(chan turnResult, 1)
	go func() {
		outcome, err := runner.RunTurn(ctx, req, func(delta string) error {
			select {
			case deltas <- delta:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		done <- turnResult{outcome, err}
	}()
	ticker := time.NewTicker(streamKeepaliveInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case delta := <-deltas:
			err = writer.WriteEvent("", eventDelta, mustMarshalJSON(delta))
		case <-ticker.C:
			err = writer.WriteComment("alive")
		case result := <-done:
			writeTurnResult(writer, result)

			return
		}
		if err != nil {
			// The host that sent the request is gone, so the turn is cancelled; wait until it has ended.
			cancel()
			<-done

			return
		}
	}
}

func writeTurnResult(writer *sse.Writer, result turnResult) {
	if result.err != nil {
		writer.WriteEvent("", eventError, mustMarshalJSON(apierror.From(result.err).Body())) //nolint:errcheck // the reader may be gone

		return
	}
	data, err := protojson.Marshal(result.outcome)
	if err != nil {
		writer.WriteEvent("", eventError, mustMarshalJSON(apierror.From(err).Body())) //nolint:errcheck // the reader may be gone

		return
	}
	writer.WriteEvent("", eventOutcome, data) //nolint:errcheck // the reader may be gone
}

func mustMarshalJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	return data
}

// RunTurn runs a turn at the other host.
func (c *Client) RunTurn(
	ctx context.Context, req *peerpb.TurnRequest, onDelta func(delta string) error,
) (*peerpb.TurnOutcome, error) {
	trafficCounters.Add(metricTurnsSent, 1)
	setDeadline(ctx, req.GetCaller())
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamSilenceTimeout, func() {
		cancel(newUnreachableError(fmt.Errorf("no event or keepalive within %s", streamSilenceTimeout)))
	})
	defer watchdog.Stop()

	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+turnPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(httpReq)
	if err != nil {
		return nil, c.streamError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, newUnreachableError(fmt.Errorf("status %d", resp.StatusCode))
	}
	outcome, err := readTurnEvents(resp.Body, func() { watchdog.Reset(streamSilenceTimeout) }, onDelta)
	if err != nil {
		return nil, c.streamError(ctx, err)
	}

	return outcome, nil
}

// streamError returns the reason for which the stream was cancelled, or else the error as an *apierror.Error.
func (c *Client) streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	var apiErr *apierror.Error
	if apiErr = apierror.From(err); apiErr.Kind != apierror.Internal {
		return apiErr
	}

	return newUnreachableError(err)
}

// readTurnEvents reads the events of a turn up to its outcome and calls onLine for each line.
func readTurnEvents(body io.Reader, onLine func(), onDelta func(string) error) (*peerpb.TurnOutcome, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() {
		onLine()
		line := scanner.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			event = string(bytes.TrimSpace(name))

			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		outcome, err := handleTurnEvent(event, bytes.TrimSpace(data), onDelta)
		if outcome != nil || err != nil {
			return outcome, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}

	return nil, io.ErrUnexpectedEOF
}

func handleTurnEvent(event string, data []byte, onDelta func(string) error) (*peerpb.TurnOutcome, error) {
	switch event {
	case eventDelta:
		var delta string
		if err := json.Unmarshal(data, &delta); err != nil {
			return nil, err
		}

		return nil, onDelta(delta)
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
		return nil, nil //nolint:nilnil // events of later versions are ignored
	}
}
