package ledger

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// Decision is the answer to a turn that wants to run.
type Decision int

// Decisions on a turn.
const (
	// Admit lets the turn run.
	Admit Decision = iota
	// Spent refuses the turn: the budget does not hold it.
	Spent
	// Wait asks for the program's mark to become durable first.
	Wait
	// Over refuses a turn that was settled before it was decided on: nobody waits for it any more.
	Over
)

const (
	// overdue is how long after its deadline a turn that was never settled counts as having generated all it might.
	overdue = 3 * time.Second
	// maxSettled bounds the settled attempts that an account remembers, so that a repeated settlement counts once.
	maxSettled = 32
)

// Turn is one turn that wants to run.
type Turn struct {
	Program id.Program
	// Attempt tells repeated requests for the same turn from others.
	Attempt  string
	Budget   id.Tokens
	Max      id.Tokens
	Deadline time.Time
	// Retention is how long the account is kept after the turn.
	Retention time.Duration
}

// Mark is what is to become durable: all tokens up to it count as spent.
type Mark struct {
	Program id.Program
	Tokens  id.Tokens
	Expires time.Time
}

type reservation struct {
	tokens  id.Tokens
	expires time.Time
}

type account struct {
	settled id.Tokens
	// durable is the mark that a successor starts from.
	durable  id.Tokens
	running  map[string]reservation
	ended    []string
	expires  time.Time
	recorded bool
}

// Ledger keeps the accounts of a slot; its zero value is empty.
type Ledger struct{ accounts map[id.Program]*account }

// Begin decides on a turn and returns the mark to make durable; its tokens are zero where that is done. While the store is away for
// all hosts, turns are admitted on the count in memory alone.
func (l *Ledger) Begin(now time.Time, turn Turn, storeAway bool) (Decision, Mark) {
	a := l.account(turn.Program)
	a.settleOverdue(now)
	if expires := now.Add(turn.Retention); expires.After(a.expires) {
		a.expires = expires
	}
	if _, again := a.running[turn.Attempt]; again {
		return Admit, a.mark(turn.Program)
	}
	before := a.settled + a.reserved()
	switch {
	case slices.Contains(a.ended, turn.Attempt):
		return Over, Mark{}
	case before+turn.Max > turn.Budget:
		if before <= a.durable {
			return Spent, Mark{}
		}

		return Spent, a.mark(turn.Program)
	case before > a.durable && !storeAway:
		return Wait, a.mark(turn.Program)
	}
	if a.running == nil {
		a.running = make(map[string]reservation)
	}
	a.running[turn.Attempt] = reservation{tokens: turn.Max, expires: turn.Deadline.Add(overdue)}

	return Admit, a.mark(turn.Program)
}

// End settles a turn with the tokens that it did generate.
func (l *Ledger) End(program id.Program, attempt string, tokens id.Tokens) {
	a := l.account(program)
	if slices.Contains(a.ended, attempt) {
		return
	}
	a.ended = append(a.ended, attempt)
	if len(a.ended) > maxSettled {
		a.ended = a.ended[1:]
	}
	delete(a.running, attempt)
	a.settled += tokens
}

// Durable notes that a mark is durable.
func (l *Ledger) Durable(mark Mark) {
	a, ok := l.accounts[mark.Program]
	if !ok {
		return
	}
	a.durable, a.recorded = mark.Tokens, true
}

// Restore opens an account at a durable mark.
func (l *Ledger) Restore(mark Mark) {
	a := l.account(mark.Program)
	a.settled, a.durable, a.recorded, a.expires = mark.Tokens, mark.Tokens, true, mark.Expires
}

// Raise counts a program's tokens as at least so many, by what the hosts have heard of its count; it returns the mark to
// make durable, whose tokens are zero where there is none.
func (l *Ledger) Raise(program id.Program, tokens id.Tokens, expires time.Time) Mark {
	a := l.account(program)
	if before := a.settled + a.reserved(); tokens > before {
		a.settled += tokens - before
	}
	if expires.After(a.expires) {
		a.expires = expires
	}
	if a.settled+a.reserved() <= a.durable {
		return Mark{}
	}

	return a.mark(program)
}

// Expire drops accounts whose time is over and returns those with a durable mark, which is to be deleted.
func (l *Ledger) Expire(now time.Time) []id.Program {
	var recorded []id.Program
	for program, a := range l.accounts {
		a.settleOverdue(now)
		if len(a.running) > 0 || now.Before(a.expires) {
			continue
		}
		if a.recorded {
			recorded = append(recorded, program)
		}
		delete(l.accounts, program)
	}

	return recorded
}

// Known reports whether a program has generated tokens, or may be about to.
func (l *Ledger) Known(program id.Program) bool {
	a, ok := l.accounts[program]

	return ok && a.settled+a.reserved() > 0
}

// Len returns the number of accounts.
func (l *Ledger) Len() int { return len(l.accounts) }

func (l *Ledger) account(program id.Program) *account {
	a, ok := l.accounts[program]
	if !ok {
		if l.accounts == nil {
			l.accounts = make(map[id.Program]*account)
		}
		a = &account{}
		l.accounts[program] = a
	}

	return a
}

func (a *account) reserved() id.Tokens {
	var sum id.Tokens
	for _, r := range a.running {
		sum += r.tokens
	}

	return sum
}

func (a *account) mark(program id.Program) Mark {
	return Mark{Program: program, Tokens: a.settled + a.reserved(), Expires: a.expires}
}

func (a *account) settleOverdue(now time.Time) {
	for attempt, r := range a.running {
		if now.After(r.expires) {
			a.settled += r.tokens
			delete(a.running, attempt)
		}
	}
}
