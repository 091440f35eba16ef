package owner

import (
	"context"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record/recordpb"
)

// blockShare is the part of a budget that one durable block covers.
const blockShare = 16

func (o *Owner) reserved(root id.Program) id.Tokens {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.programs[root]; ok {
		return a.reserved
	}

	return 0
}

// reserve sets tokens of the root's budget aside and makes the reservation durable before it returns.
func (o *Owner) reserve(ctx context.Context, l lease, root id.Program, tokens id.Tokens) (func(), error) {
	a, done := o.use(root)
	mark, err := o.reserveLocked(a, root, tokens)
	if err != nil {
		done()

		return nil, err
	}
	release := func() {
		o.mu.Lock()
		a.reserved -= tokens
		o.mu.Unlock()
		done()
	}
	if mark == 0 {
		return release, nil
	}
	rec := o.record(l)
	rec.Body = &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{Program: string(root), Tokens: int64(mark)}}
	if err := o.commit(ctx, rec); err != nil {
		release()

		return nil, apierror.From(err).WithExecution(apierror.NotExecuted)
	}

	return release, nil
}

// reserveLocked adds to the reservation and returns the mark to write, or zero where the present one covers it.
func (o *Owner) reserveLocked(a *active, root id.Program, tokens id.Tokens) (id.Tokens, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var state projection.Program
	o.Journal.View(func(p *projection.Programs) {
		if found, ok := p.Program(root); ok {
			state = *found
		}
	})
	left := state.Budget - state.Used - a.reserved
	if tokens > left {
		return 0, apierror.New(apierror.BudgetExhausted,
			"the call may take %d tokens, the program has %d of %d left", tokens, max(0, left), state.Budget)
	}
	a.reserved += tokens
	need := state.Used + a.reserved
	if need <= state.UsedUpperBound {
		return 0, nil
	}

	return min(state.Budget, need+state.Budget/blockShare), nil
}
