package main

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomward/platform/standin"
)

const (
	// largeTurns is the number of turns of each program, and largeBytes the size of each input: the limit of a body is 4,194,304 bytes.
	largeTurns = 40
	largeBytes = 4 << 20
	usualBytes = 17000
	// promptTokens is what the clients name as the length of each prompt, which fits into the memory of the sheet's runners.
	promptTokens = "400000"
	// largeMemory is that of the smaller machines of neendakara-lelam-grown, whose routes retain context, in MB.
	largeMemory = 144
	// restartDelay is the time between the end of a process and the next start.
	restartDelay = 500 * time.Millisecond
	memoryHosts  = 6
	sendFor      = 20 * time.Second
	watchFor     = 45 * time.Second
)

// residentBytes returns the memory of the host's process without the pages of its executable, zero if it does not run.
func (h *host) residentBytes() int64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)

			return kilobytes << 10
		}
	}

	return 0
}

// enforceMemory does to the host's processes what the platform does: one that exceeds its memory is killed, and started again after a short
// delay. It returns the number of these ends.
func (h *host) enforceMemory(ctx context.Context) (ends int, peak int64) {
	for ctx.Err() == nil {
		resident := h.residentBytes()
		peak = max(peak, resident)
		if resident > h.fleet.memory<<20 {
			ends++
			h.fleet.record("%s has %d MB of %d and is killed", h.settings.Name, resident>>20, h.fleet.memory)
			h.kill()
			time.Sleep(restartDelay)
			h.start() //nolint:errcheck // a host that stays away
		}
		time.Sleep(20 * time.Millisecond)
	}

	return ends, peak
}

// playMemory has two programs send large turns, within the limits of the configuration, and counts the processes that exceed their memory.
func playMemory(f *fleet) (bool, error) {
	f.memory, f.front = largeMemory, newFront(f.store)
	f.startEngines(4, 8, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/chat/", retainsContext: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(memoryHosts); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends, peaks := make([]int, len(f.hosts)), make([]int64, len(f.hosts))
	var watchers sync.WaitGroup
	for number, h := range f.hosts {
		watchers.Go(func() { ends[number], peaks[number] = h.enforceMemory(ctx) })
	}
	size := usualBytes
	if f.trouble {
		size = largeBytes
	}
	body := strings.Repeat("x", size)
	send := func(number int, program, body string) bool {
		request := standin.NewTurnRequest("/chat/a", apiKey, program, "", body)
		request.Header["Token-Budget"], request.Header["Token-Usage"] = "1000000", promptTokens+",100"
		request.Header["Prompt-Prefix"] = "aa:400,bb:" + promptTokens
		callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
		defer cancelCall()
		response, err := request.Send(callCtx, newID(), f.hosts[number%len(f.hosts)].address())

		return err == nil && response.Status == 200 && !response.Truncated
	}
	// Two programs whose slots have different owners, as two programs mostly have.
	programs := []string{newID()[:6], ""}
	first, err := f.owner(programs[0])
	if err != nil {
		return false, err
	}
	for second := first; second == first; {
		programs[1] = newID()[:6]
		if second, err = f.owner(programs[1]); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	var senders sync.WaitGroup
	whole := make([]int, len(programs))
	for index, program := range programs {
		senders.Go(func() {
			for number := 0; number < largeTurns && time.Since(begun) < sendFor; number++ {
				if send(2*number+index, program, body) {
					whole[index]++
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	f.record("%v turns of two programs with inputs of %d bytes were answered whole in %s", whole, size, time.Since(begun).Round(time.Second))
	others, othersServed := 0, 0
	for number := 0; time.Since(begun) < watchFor; number++ {
		others++
		if send(number, newID()[:6], "input\n") {
			othersServed++
		}
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	watchers.Wait()
	often := 0
	for number, h := range f.hosts {
		f.record("%s: %d ends over its memory, peak %d MB", h.settings.Name, ends[number], peaks[number]>>20)
		if ends[number] >= 3 {
			often++
		}
	}
	f.record("turns of other programs served afterwards: %d of %d", othersServed, others)
	if whole[0]+whole[1] == 0 {
		return false, errors.New("no turn was answered whole")
	}

	return often >= 2, nil
}
