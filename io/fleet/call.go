package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/patience"
	"cardamomward/platform"
)

// timer bounds the calls to the store by how long its answers take; its zero value works.
type timer struct {
	mu       sync.Mutex
	patience patience.Patience
}

func (t *timer) wait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.patience.Wait()
}

// call makes one call to the store with a bound on its time, and notes how it went.
func (f *Fleet) call(ctx context.Context, do func(ctx context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, f.timer.wait())
	defer cancel()
	began := f.Now()
	err := do(callCtx)
	f.timer.mu.Lock()
	defer f.timer.mu.Unlock()
	switch {
	case err == nil:
		f.timer.patience.Answered(f.Now().Sub(began))
		f.NoteAnswer()
	case errorx.IsOfType(err, platform.ErrInDoubt) && ctx.Err() == nil:
		f.timer.patience.Unanswered()
	}

	return err
}
