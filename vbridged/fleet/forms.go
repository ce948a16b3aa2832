package fleet

import (
	"context"
	"errors"
	"sync"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// forms is a set of commands that a core can read, as it answers methodForms. Each set includes those before it. The answer
// of versions without tombstones is empty.
type forms byte

const (
	formsTeams forms = iota
	formsTombstones
)

func (f forms) String() string {
	if f == formsTeams {
		return "teams"
	}
	return "tombstones"
}

// checkForms returns an error unless each of the cores can read a set of commands. It is asked before the first command
// of a set: a replica of an earlier version would skip that, and differ from the others from then on.
func (d *Domain) checkForms(ctx context.Context, cores []model.Instance, want forms) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(cores))
	for i, core := range cores {
		wg.Go(func() {
			answer, err := d.network.CallRaw(ctx, core, methodForms, nil)
			if err == nil && readForms(answer) < want {
				err = fault.Wrap(fault.ErrInvalid, "it can read %s only", readForms(answer))
			}
			if err != nil {
				errs[i] = fault.Wrap(fault.ErrUnavailable, "core %s does not say that it can read %s: %v", core, want, err)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func readForms(answer []byte) forms {
	if len(answer) == 0 {
		return formsTeams
	}
	return forms(answer[0])
}

// handleForms answers which commands this core can read.
func handleForms(context.Context, model.Instance, []byte) ([]byte, error) {
	return []byte{byte(formsTombstones)}, nil
}
