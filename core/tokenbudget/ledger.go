package tokenbudget

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// Decision is the result of a request to run a turn.
type Decision int

// Results of Ledger.Reserve.
const (
	// Admit lets the turn run.
	Admit Decision = iota
	// Exhausted refuses the turn, because its maximum exceeds what is left of the budget.
	Exhausted
	// AwaitDurable asks the caller to make the program's watermark durable, if there is one, before it tries again.
	AwaitDurable
	// AlreadySettled refuses a turn that was settled before it was reserved: its caller does not wait for it any more.
	AlreadySettled
)

const (
	// settlementGracePeriod is the time after its deadline at which an unsettled turn is charged its whole reservation.
	settlementGracePeriod = 3 * time.Second
	// undurableBudgetDivisor divides a budget into the part that may be spent beyond the durable watermark while the
	// platform's store is unavailable, and that is charged after a loss of all hosts.
	undurableBudgetDivisor = 4
	// maxSettledAttempts bounds the settled attempts that an account remembers to ignore a repeated settlement.
	maxSettledAttempts = 32
)

// Turn is a turn that requests tokens from its program's budget.
type Turn struct {
	Program id.Program
	// Attempt identifies the attempt: repeated requests with one value reserve tokens once.
	Attempt string
	// BudgetTokens is the whole budget of the program, and MaxTokens the most tokens that the turn may generate.
	BudgetTokens id.Tokens
	MaxTokens    id.Tokens
	Deadline     time.Time
	// Retention is the retention of the account after the turn.
	Retention time.Duration
}

// Watermark is the number of tokens that a program has settled and reserved, for storage in the platform's store; after a
// failover, all tokens up to it count as spent.
type Watermark struct {
	Program   id.Program
	Tokens    id.Tokens
	ExpiresAt time.Time
	// WrittenAt is the write time of a restored watermark.
	WrittenAt time.Time
	// ChargedLoss is the time up to which forgotten turns are charged in the tokens of a restored watermark; zero if none are.
	ChargedLoss time.Time
	// LossUncharged is set if forgotten turns are still to be charged.
	LossUncharged bool
}

type reservation struct {
	tokens    id.Tokens
	expiresAt time.Time
}

type account struct {
	settledTokens id.Tokens
	// durableTokens is the watermark from which a new owner restores the account.
	durableTokens       id.Tokens
	reservations        map[string]reservation
	settledAttempts     []string
	expiresAt           time.Time
	hasDurableWatermark bool
	// writtenAt is the write time of the restored watermark, and chargedLoss its ChargedLoss; zero if none was restored.
	writtenAt   time.Time
	chargedLoss time.Time
	// lossTokens are charged for turns that may have been forgotten; hasDurableLoss is set once a watermark with them is durable.
	lossTokens     id.Tokens
	hasDurableLoss bool
	// isLossSettled is set if no turns of the program can have been forgotten, or they have been charged.
	isLossSettled bool
	// restoredTokens is the restored watermark, and recalledTokens are those beyond it that hosts have reported. Hosts may have missed
	// later turns, so these count towards the charge and do not replace it.
	restoredTokens id.Tokens
	recalledTokens id.Tokens
}

// Ledger keeps the token accounts of the programs of a slot at the slot's owner; its zero value is empty.
type Ledger struct {
	accounts map[id.Program]*account
	// rememberedSince is the start of the period whose turns are known though they are not durable; zero if all are known.
	rememberedSince time.Time
}

// AssumeLoss makes the ledger charge each program once for the turns that may have been admitted before a time, beyond its
// durable watermark: all hosts that knew of them may have failed. The latest loss counts.
func (l *Ledger) AssumeLoss(before time.Time) {
	if before.After(l.rememberedSince) {
		l.rememberedSince = before
	}
}

// AssumedLoss returns the time of the latest assumed loss, or zero if there was none. It has to be stored with each watermark:
// later owners cannot infer the loss once newer watermarks have been written.
func (l *Ledger) AssumedLoss() time.Time { return l.rememberedSince }

// Reserve reserves the maximum of a turn and returns the decision and the watermark to make durable, whose tokens are
// zero if there is none. While the platform's store is unavailable, a part of the budget is admitted by the count in memory
// alone.
func (l *Ledger) Reserve(now time.Time, turn Turn, storeUnavailable bool) (Decision, Watermark) {
	a := l.account(turn.Program)
	a.settleOverdue(now)
	if expires := now.Add(turn.Retention); expires.After(a.expiresAt) {
		a.expiresAt = expires
	}
	if _, reserved := a.reservations[turn.Attempt]; reserved {
		return Admit, a.watermark(turn.Program)
	}
	l.chargeLoss(now, a, turn)
	committedTokens := a.committedTokens()
	switch {
	case slices.Contains(a.settledAttempts, turn.Attempt):
		return AlreadySettled, Watermark{}
	case committedTokens+turn.MaxTokens > turn.BudgetTokens && a.awaitsSettlement(turn):
		return AwaitDurable, Watermark{}
	case committedTokens+turn.MaxTokens > turn.BudgetTokens:
		if a.undurableTokens() <= 0 {
			return Exhausted, Watermark{}
		}

		return Exhausted, a.watermark(turn.Program)
	case a.undurableTokens() > 0 && (!storeUnavailable || !a.mayExceedDurable(turn.BudgetTokens)):
		return AwaitDurable, a.watermark(turn.Program)
	}
	if a.reservations == nil {
		a.reservations = make(map[string]reservation)
	}
	a.reservations[turn.Attempt] = reservation{tokens: turn.MaxTokens, expiresAt: turn.Deadline.Add(settlementGracePeriod)}

	return Admit, a.watermark(turn.Program)
}

// chargeLoss charges a program, once, for the turns that may have been forgotten. A program that comes later than the retention of
// its account after the loss is a new one.
func (l *Ledger) chargeLoss(now time.Time, a *account, turn Turn) {
	isForgotten := a.writtenAt.Before(l.rememberedSince) && a.chargedLoss.Before(l.rememberedSince)
	if !a.isLossSettled && isForgotten && now.Before(l.rememberedSince.Add(turn.Retention)) {
		a.lossTokens = max(0, maxUndurableTokens(turn.BudgetTokens)-a.recalledTokens)
	}
	a.isLossSettled = true
}

// maxUndurableTokens returns how many tokens beyond the durable watermark a program may have while the platform's store is
// unavailable, before its next turn.
func maxUndurableTokens(budget id.Tokens) id.Tokens { return budget / undurableBudgetDivisor }

// MayOverspendIfForgotten reports whether a program could exceed its budget by more than one turn if its count were forgotten while the
// platform's store is unavailable: it would be taken for a new one, and a part of its budget admitted once more.
func MayOverspendIfForgotten(spent, maxTokens, budget id.Tokens) bool {
	return spent+maxUndurableTokens(budget)+maxTokens > budget
}

// awaitsSettlement reports whether a turn may fit once the running ones have settled, and would fit now but for the tokens that are
// charged for a loss: these may not have been spent, so they alone do not exhaust a budget.
func (a *account) awaitsSettlement(turn Turn) bool {
	reservedTokens := a.reservedTokens()

	return a.lossTokens > 0 && reservedTokens > 0 &&
		a.settledTokens+reservedTokens+turn.MaxTokens <= turn.BudgetTokens &&
		a.settledTokens+a.lossTokens+turn.MaxTokens <= turn.BudgetTokens
}

// mayExceedDurable reports whether a turn may be admitted though earlier ones are not durable: a loss of all hosts makes a
// program's undurable tokens available to it once more, but for those that are charged then.
func (a *account) mayExceedDurable(budget id.Tokens) bool {
	return a.undurableTokens() <= maxUndurableTokens(budget)
}

// Settle replaces the reservation of a turn by the tokens that it generated; repeated settlements are ignored.
func (l *Ledger) Settle(program id.Program, attempt string, tokens id.Tokens) {
	a := l.account(program)
	if slices.Contains(a.settledAttempts, attempt) {
		return
	}
	a.settledAttempts = append(a.settledAttempts, attempt)
	if len(a.settledAttempts) > maxSettledAttempts {
		a.settledAttempts = a.settledAttempts[1:]
	}
	delete(a.reservations, attempt)
	a.settledTokens += tokens
}

// Cancel gives back the reservation of a turn that does not run.
func (l *Ledger) Cancel(program id.Program, attempt string) {
	if a, ok := l.accounts[program]; ok {
		delete(a.reservations, attempt)
	}
}

// MarkDurable records that a watermark has become durable.
func (l *Ledger) MarkDurable(watermark Watermark) {
	a, ok := l.accounts[watermark.Program]
	if !ok {
		return
	}
	a.durableTokens, a.hasDurableWatermark, a.hasDurableLoss = watermark.Tokens, true, !watermark.LossUncharged
}

// Restore opens an account at a durable watermark.
func (l *Ledger) Restore(watermark Watermark) {
	a := l.account(watermark.Program)
	a.settledTokens, a.durableTokens, a.hasDurableWatermark = watermark.Tokens, watermark.Tokens, true
	a.restoredTokens, a.expiresAt = watermark.Tokens, watermark.ExpiresAt
	if !watermark.LossUncharged {
		a.writtenAt, a.chargedLoss = watermark.WrittenAt, watermark.ChargedLoss
	}
}

// RaiseTo raises a program's token count to at least the given one, which other hosts have reported. It returns the
// watermark to make durable, whose tokens are zero if there is none.
func (l *Ledger) RaiseTo(program id.Program, count Count, expiresAt time.Time) Watermark {
	a := l.account(program)
	a.recalledTokens = max(a.recalledTokens, count.Tokens-a.restoredTokens)
	if committedTokens := a.committedTokens(); count.Tokens > committedTokens {
		a.settledTokens += count.Tokens - committedTokens
	}
	a.durableTokens = max(a.durableTokens, count.Durable)
	if expiresAt.After(a.expiresAt) {
		a.expiresAt = expiresAt
	}
	if a.committedTokens() <= a.durableTokens {
		return Watermark{}
	}
	watermark := a.watermark(program)
	watermark.LossUncharged = !a.isLossSettled && !l.rememberedSince.IsZero()

	return watermark
}

// RemoveExpired removes expired accounts and returns the programs whose durable watermark is to be deleted.
func (l *Ledger) RemoveExpired(now time.Time) []id.Program {
	var durable []id.Program
	for program, a := range l.accounts {
		a.settleOverdue(now)
		if len(a.reservations) > 0 || now.Before(a.expiresAt) {
			continue
		}
		if a.hasDurableWatermark {
			durable = append(durable, program)
		}
		delete(l.accounts, program)
	}

	return durable
}

// Count returns a program's token count.
func (l *Ledger) Count(program id.Program) Count {
	a, ok := l.accounts[program]
	if !ok {
		return Count{}
	}

	return Count{Tokens: a.committedTokens(), Durable: a.durableTokens}
}

// Undurable returns how many of a program's tokens its durable watermark lacks, without those that are charged for a loss.
func (l *Ledger) Undurable(program id.Program) id.Tokens {
	a, ok := l.accounts[program]
	if !ok {
		return 0
	}

	return a.undurableTokens()
}

// HasUsage reports whether a program has settled or reserved tokens.
func (l *Ledger) HasUsage(program id.Program) bool {
	a, ok := l.accounts[program]

	return ok && a.committedTokens() > a.lossTokens
}

// HasAccount reports whether a program has an account.
func (l *Ledger) HasAccount(program id.Program) bool {
	_, ok := l.accounts[program]

	return ok
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

func (a *account) reservedTokens() id.Tokens {
	var sum id.Tokens
	for _, r := range a.reservations {
		sum += r.tokens
	}

	return sum
}

// committedTokens returns the tokens that count as spent.
func (a *account) committedTokens() id.Tokens {
	return a.settledTokens + a.reservedTokens() + a.lossTokens
}

// undurableTokens returns the tokens beyond the durable watermark. Tokens that are charged for a loss would be charged again after
// the next one, so no turn waits until they are durable.
func (a *account) undurableTokens() id.Tokens {
	undurable := a.committedTokens() - a.durableTokens
	if !a.hasDurableLoss {
		undurable -= a.lossTokens
	}

	return undurable
}

func (a *account) watermark(program id.Program) Watermark {
	return Watermark{Program: program, Tokens: a.committedTokens(), ExpiresAt: a.expiresAt}
}

func (a *account) settleOverdue(now time.Time) {
	for attempt, r := range a.reservations {
		if now.After(r.expiresAt) {
			a.settledTokens += r.tokens
			delete(a.reservations, attempt)
		}
	}
}
