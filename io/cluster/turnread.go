package cluster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/turnstore"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// reloadTimeout bounds the wait for one of the turns that a continuation needs and that are read from the store.
	reloadTimeout = 5 * time.Second
	// maxReloadRequestAge is the age of the last request for a transcript from which on its text is not read any more. Those that wait ask
	// again at least every outageCheckInterval.
	maxReloadRequestAge = 3 * outageCheckInterval
	// reloadRetryInterval is the pause after a read that failed.
	reloadRetryInterval = 100 * time.Millisecond
	// reloadKeepTime bounds the time for which turns that were read are not evicted: the request that waits for them, or its next attempt,
	// needs them.
	reloadKeepTime = 2 * time.Second
)

var (
	// errEndVisit ends a visit of records.
	errEndVisit = errors.New("end of the visit")
	// errTurnNotStored is returned for a turn whose records the store does not list.
	errTurnNotStored = errors.New("the store does not have the turn")
)

// requestTranscript returns the transcript that a turn continues from and OUTCOME_OK, or why there is none. It waits for turns that
// have to be read from the store. The caller holds the lock, which is released while it waits.
func (s *slot) requestTranscript(ctx context.Context, req *fleetpb.BeginTurnRequest) ([]byte, fleetpb.Outcome, error) {
	workspace := id.Workspace(req.Workspace)
	until := s.cluster.Now().Add(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		if !s.turns.HasTranscript(workspace, req.Previous) {
			return nil, fleetpb.Outcome_OUTCOME_UNKNOWN_TURN, nil
		}
		if transcript, ok, err := s.residentTranscript(ctx, workspace, req.Previous); ok || err != nil {
			return transcript, fleetpb.Outcome_OUTCOME_OK, err
		}
		remaining := until.Sub(s.cluster.Now())
		if remaining <= 0 || ctx.Err() != nil {
			return nil, fleetpb.Outcome_OUTCOME_UNSURE, nil
		}
		s.awaitChange(ctx, min(remaining, outageCheckInterval))
		if s.state != serving {
			return nil, fleetpb.Outcome_OUTCOME_NOT_OWNER, nil
		}
	}
}

// residentTranscript returns the transcript of a turn if all of it is in memory; otherwise it starts to read the rest. It fails if there is
// no memory for the reply. The caller holds the lock.
func (s *slot) residentTranscript(ctx context.Context, workspace id.Workspace, turn string) (transcript []byte, ok bool, err error) {
	if evicted := s.turns.Evicted(workspace, turn); len(evicted) > 0 {
		s.startReload(workspace, turn, evicted)

		return nil, false, nil
	}
	if !reserveTranscript(ctx, s.turns.TranscriptBytes(workspace, turn)) {
		return nil, false, errNoMemory
	}
	transcript, ok = s.turns.Transcript(workspace, turn)
	s.turns.Keep(workspace, turn, time.Time{})

	return transcript, ok, nil
}

// startReload reads the text of evicted turns from the store in the background, unless that is in progress. The caller holds the lock.
func (s *slot) startReload(workspace id.Workspace, turn string, evicted []string) {
	if s.reloading == nil {
		s.reloading = make(map[string]time.Time)
	}
	_, isInProgress := s.reloading[turn]
	s.reloading[turn] = s.cluster.Now()
	if isInProgress {
		return
	}
	parts := make([]storedParts, 0, len(evicted))
	for _, missing := range evicted {
		parts = append(parts, s.turnParts[missing])
	}
	servingSince, memory := s.servingSince, s.cluster.turnMemory
	go func() {
		memory.reloads <- struct{}{}
		var err error
		if s.isReloadWanted(turn) {
			err = s.reload(workspace, turn, evicted, parts, servingSince)
		}
		if err != nil {
			<-memory.reloads
			s.cluster.Logger.Error(err, "turn-reload-failed", "slot", s.index, "turn", turn)
			time.Sleep(reloadRetryInterval)
		}
		s.mu.Lock()
		delete(s.reloading, turn)
		s.notifyChanged()
		s.mu.Unlock()
		if err == nil {
			memory.awaitNoExcess(reloadKeepTime)
			<-memory.reloads
		}
	}()
}

// isReloadWanted reports whether a request has lately asked for the transcript of a turn: callers leave while the text of others is read.
func (s *slot) isReloadWanted(turn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.cluster.Now().Sub(s.reloading[turn]) < maxReloadRequestAge
}

// reload reads the text of evicted turns, which are kept for a moment beside the others that a continuation of a turn needs.
func (s *slot) reload(workspace id.Workspace, turn string, evicted []string, parts []storedParts, servingSince time.Time) error {
	for i, missing := range evicted {
		text, err := s.cluster.readTurn(s.partition(), missing, parts[i])
		if err != nil {
			return err
		}
		s.mu.Lock()
		isCurrent := s.state == serving && s.servingSince.Equal(servingSince)
		if isCurrent {
			until := s.cluster.Now().Add(reloadKeepTime)
			s.turns.Reload(text, until)
			s.turns.Keep(workspace, turn, until)
			s.countTurns()
		}
		s.mu.Unlock()
		if !isCurrent {
			break
		}
	}

	return nil
}

// readTurn reads a turn from the store by its keys, or by all keys if they are not where the order of keys would have them.
func (c *Cluster) readTurn(p platform.Partition, turn string, parts storedParts) (*turnstore.Turn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
	defer cancel()
	for _, after := range []string{keyBefore(turn, parts), ""} {
		text, err := c.findTurnRecords(ctx, p, turn, parts, after)
		if text != nil || err != nil {
			return text, err
		}
	}

	return nil, errTurnNotStored
}

// keyBefore returns a key that comes before those of a turn, and before few others.
func keyBefore(turn string, parts storedParts) string {
	switch {
	case parts.count > 0 && parts.isEarlier:
		return earlierPartKeyPrefix
	case parts.count > 0:
		return turnPartKeyPrefix + turn
	}
	_, size := utf8.DecodeLastRuneInString(turn)

	return turnKeyPrefix + turn[:len(turn)-size]
}

// findTurnRecords reads pages after a key until they contain all records of a turn; it returns nil if they do not.
func (c *Cluster) findTurnRecords(ctx context.Context, p platform.Partition, turn string, stored storedParts, after string) (*turnstore.Turn, error) {
	keys := stored.keys(turn)
	lastKey := slices.Max(keys)
	var parts turnParts
	var found *turnstore.Turn
	_, err := platform.VisitNewestRecords(ctx, pagesAfter{c.store, after}, p, c.pageTimeout(1), func(page platform.NewestPage) error {
		for _, record := range page.Records {
			isWanted := slices.Contains(keys, record.Key)
			var err error
			if isWanted && isTurnPart(record) {
				record, isWanted, err = parts.add(record)
			}
			var value fleetpb.Record
			if isWanted && err == nil {
				err = proto.Unmarshal(record.Value, &value)
			}
			if err != nil {
				return err
			}
			if kept := value.GetTurn(); kept != nil {
				found = toStoredTurn(kept, time.Time{})

				return errEndVisit
			}
		}
		if last := len(page.Records) - 1; after != "" && last >= 0 && page.Records[last].Key > lastKey {
			return errEndVisit
		}

		return nil
	})
	if errors.Is(err, errEndVisit) {
		err = nil
	}

	return found, err
}

// pagesAfter reads the pages after a key.
type pagesAfter struct {
	platform.NewestPageReader

	after string
}

// ReadNewestPage reads a page from the later one of both keys on.
func (r pagesAfter) ReadNewestPage(ctx context.Context, p platform.Partition, afterKey string, timeout time.Duration) (platform.NewestPage, error) {
	return r.NewestPageReader.ReadNewestPage(ctx, p, cmp.Or(afterKey, r.after), timeout)
}
