package executor

import (
	"context"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record/recordpb"
)

// watermarkStepsPerBudget is the divisor of a budget that gives the extra tokens by which each new watermark exceeds the
// reservations, so that most reservations need no log record.
const watermarkStepsPerBudget = 16

// reservedTokens returns the tokens that running turns have reserved of a root program's budget.
func (e *Executor) reservedTokens(root id.Program) id.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	if active, ok := e.activePrograms[root]; ok {
		return active.reservedTokens
	}

	return 0
}

// reserveTokens reserves tokens of the root program's budget, and commits a higher watermark first if the reservation
// exceeds the current one. The returned function ends the reservation.
func (e *Executor) reserveTokens(ctx context.Context, fence slotFence, root id.Program, tokens id.Tokens) (func(), error) {
	active, releaseProgram := e.useProgram(root)
	watermark, err := e.addReservation(active, root, tokens)
	if err != nil {
		releaseProgram()

		return nil, err
	}
	release := func() {
		e.mu.Lock()
		active.reservedTokens -= tokens
		e.mu.Unlock()
		releaseProgram()
	}
	if watermark == 0 {
		return release, nil
	}
	rec := e.newRecord(fence)
	rec.Body = &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{Program: string(root), Tokens: int64(watermark)}}
	if err := e.commitRecord(ctx, rec); err != nil {
		release()

		return nil, apierror.From(err).WithExecution(apierror.NotExecuted)
	}

	return release, nil
}

// addReservation adds a reservation and returns the watermark to commit, or zero if the current one covers it.
func (e *Executor) addReservation(active *activeProgram, root id.Program, tokens id.Tokens) (id.Tokens, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var program projection.Program
	e.Journal.View(func(p *projection.Programs) {
		if found, ok := p.Program(root); ok {
			program = *found
		}
	})
	available := program.Budget - program.Used - active.reservedTokens
	if tokens > available {
		return 0, apierror.New(apierror.BudgetExhausted,
			"the call may use up to %d tokens, but only %d of the program's %d are left", tokens, max(0, available), program.Budget)
	}
	active.reservedTokens += tokens
	upperBound := program.Used + active.reservedTokens
	if upperBound <= program.UsedUpperBound {
		return 0, nil
	}

	return min(program.Budget, upperBound+program.Budget/watermarkStepsPerBudget), nil
}
