package leastcost_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
)

const (
	// simTick is the step of the simulated time.
	simTick = 5 * time.Millisecond
	simUnit = 1.2
	// simConcurrency is the number of requests that an engine runs at a time.
	simConcurrency = 16
	// prefillSlowdown is the speed of decoding while a prompt is read.
	prefillSlowdown = 0.3
	// noiseFactor and noiseDuration are those of a burst, of which there is one in noiseInterval on average.
	noiseFactor   = 2.5
	noiseDuration = 500 * time.Millisecond
	noiseInterval = 10 * time.Second
	// partLifetime is how long a shared part stays cached.
	partLifetime = 20 * time.Second
)

// simCall is a request at an engine.
type simCall struct {
	program     *simProgram
	turn        simTurn
	host        *simHost
	prefillMS   float64
	tokens      float64
	onProgress  func(tokens float64, millis float64)
	onEnd       func()
	firstAt     time.Duration
	reported    float64
	reportedFor float64
}

// simEngine decodes up to simConcurrency calls at a time, reads one prompt at a time and queues the others.
type simEngine struct {
	instance  *registry.Instance
	speed     float64
	noisyTill time.Duration
	running   []*simCall
	queue     []*simCall
	parts     map[int]time.Duration
}

func newSimEngines(n int, random *rand.Rand) []*simEngine {
	var engines []*simEngine
	for i := range n {
		engines = append(engines, &simEngine{
			instance: &registry.Instance{ID: id.Upstream(fmt.Sprintf("u%d", i)), Service: "s", Concurrency: simConcurrency},
			speed:    0.55 + random.Float64()*0.75, parts: make(map[int]time.Duration),
		})
	}

	return engines
}

// start adds a call; cachedOwn is set if its own prompt is cached.
func (e *simEngine) start(now time.Duration, call *simCall, cachedOwn float64) {
	uncached := call.turn.ownTokens - cachedOwn
	if last, ok := e.parts[call.turn.part]; !ok || now-last > partLifetime {
		uncached += simSharedTokens
	}
	e.parts[call.turn.part] = now
	call.prefillMS = uncached * simUnit / 300
	e.queue = append(e.queue, call)
}

// step advances the engine by one tick and returns the calls that have ended.
func (e *simEngine) step(now time.Duration, random *rand.Rand) []*simCall {
	if random.Float64() < simTick.Seconds()/noiseInterval.Seconds() {
		e.noisyTill = now + noiseDuration
	}
	for len(e.running) < simConcurrency && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	speed := e.speed
	if now < e.noisyTill {
		speed /= noiseFactor
	}
	tickMS := simTick.Seconds() * 1000
	budget := tickMS * speed
	for _, call := range e.running {
		used := min(budget, call.prefillMS)
		call.prefillMS -= used
		budget -= used
	}
	decodeShare := 1 - (1-prefillSlowdown)*(1-budget/(tickMS*speed))
	perCall := tickMS * speed * decodeShare / (simUnit * (1 + leastcost.SlowdownPerRequest*float64(len(e.running)-1)))
	var ended []*simCall
	kept := e.running[:0]
	for _, call := range e.running {
		if call.prefillMS > 0 {
			kept = append(kept, call)

			continue
		}
		if call.tokens == 0 {
			call.firstAt = now
		}
		call.tokens += perCall
		call.reportProgress(perCall, len(e.running))
		if call.tokens >= call.turn.outputTokens {
			ended = append(ended, call)

			continue
		}
		kept = append(kept, call)
	}
	clear(e.running[len(kept):])
	e.running = kept

	return ended
}

// reportProgress reports tokens and their time, corrected by the slowdown as the gateway corrects it, about every 50 ms.
func (c *simCall) reportProgress(tokens float64, running int) {
	c.reported += tokens
	c.reportedFor += simTick.Seconds() * 1000 / (1 + leastcost.SlowdownPerRequest*float64(running-1))
	if c.reportedFor >= 50 {
		c.onProgress(c.reported, c.reportedFor)
		c.reported, c.reportedFor = 0, 0
	}
}
