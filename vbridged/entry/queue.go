package entry

import (
	"context"
	"net/http"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/retry"
)

// acquire returns a permit for an attempt.
func (e *Entry) acquire(_ context.Context, c *call) (*lease, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	for _, s := range e.members.Servers() {
		if s.Service != c.service || !e.members.Usable(now, s.Key) {
			continue
		}
		e.holder.Want(s.Key, e.holder.Used(now, s.Key)+1)
		if l := e.take(now, s.Key, s.Zone, s.Address); l != nil {
			if c.first == 0 {
				c.first = now
			}
			return l, nil
		}
	}
	return nil, &refusal{status: http.StatusServiceUnavailable, text: "no backend server is free", cause: "full", after: refusalPause}
}

func (e *Entry) needs(clock.Millis, model.Zone) []permit.Need { return nil }

func (e *Entry) pump(clock.Millis) {}

func (e *Entry) noteEnd(clock.Millis, *call, *lease, ending) {}

func (e *Entry) budget(service string) *retry.Budget {
	b, ok := e.budgets[service]
	if !ok {
		b = retry.NewBudget(e.set.Seed)
		e.budgets[service] = b
	}
	return b
}
