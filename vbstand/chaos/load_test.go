package chaos_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/caller"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/sample"
)

const (
	// taskTimeMillis is the run time of a task, long enough that tasks run while the fault is injected.
	taskTimeMillis = 6000
	// jobTimeout covers the expiry of a lease, before which a task must not move, and a second
	// attempt.
	jobTimeout = 45 * time.Second
)

// load is the background load during a fault: requests, observation of configurations, and jobs.
type load struct {
	c      *cluster
	cancel context.CancelFunc
	calls  sync.WaitGroup
	watch  sync.WaitGroup
	jobs   sync.WaitGroup
}

func (c *cluster) newEntryList() *entry.List {
	c.t.Helper()
	l, err := entry.NewList(&http.Client{}, strings.Split(c.entryAddresses(""), ","))
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

// submitConfig submits a configuration for a version and records the answer.
func (c *cluster) submitConfig(version uint64, key, mark string, limit time.Duration) record.Submission {
	c.t.Helper()
	text, err := sample.Document(version, zones, taskTimeMillis, mark).Text()
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s := admin.SubmitConfig(ctx, c.newEntryList(), key, mark, text)
	c.journal.Write(record.Line{Submission: &s})
	return s
}

// submitConfigRetrying submits a configuration as an operator does. After a conflict it submits again
// with another key for the version after the one then in force, since an accepted version may not
// be in force yet.
func (c *cluster) submitConfigRetrying(name string, limit time.Duration) record.Submission {
	c.t.Helper()
	end := time.Now().Add(limit)
	for n := 0; ; n++ {
		s := c.submitConfig(c.highestVersion()+1, fmt.Sprintf("%s-%d", name, n), admin.MarkPrefix+name, time.Until(end))
		if s.Status != http.StatusConflict || time.Now().After(end) {
			return s
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// highestVersion returns the highest configuration version in force on any instance.
func (c *cluster) highestVersion() uint64 {
	var highest uint64
	for _, t := range c.targets() {
		var reply proto.ConfigReply
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if c.newEntryList().Do(ctx, http.MethodGet, t.Address, "/v1/config", nil, &reply) == nil {
			highest = max(highest, reply.Version)
		}
		cancel()
	}
	return highest
}

// startLoad starts sending requests, observing configurations and running each job once.
func (c *cluster) startLoad() *load {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, cancel: cancel}
	c.t.Cleanup(cancel)
	for seed, mix := range []caller.Mix{{1, 1, 1}, {0, 0, 1}} {
		l.calls.Go(func() { c.sendRequests(ctx, "during", uint64(seed+1), mix, 100_000) })
	}
	l.watch.Go(func() { admin.WatchConfigs(ctx, c.targets(), 300*time.Millisecond, c.journal) })
	for _, name := range []string{"report", "train"} {
		l.jobs.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
			defer cancel()
			if err := admin.StartRun(ctx, c.newEntryList(), name, "b"); err != nil {
				c.t.Error(err)
				return
			}
			out := admin.AwaitJob(ctx, c.newEntryList(), model.NewJobID(name, "b"), record.Now())
			c.journal.Write(record.Line{Job: &out})
		})
	}
	return l
}

// waitServing waits until a request through each instance succeeds. A restarted instance uses its
// permits only after the maximum request time.
func (c *cluster) waitServing() {
	c.t.Helper()
	var group sync.WaitGroup
	for _, i := range c.instances {
		group.Go(func() {
			for range 100 {
				opt := c.callerOptions("warm", 1, caller.Mix{0, 1, 0}, 1)
				opt.Entries, opt.NonIdempotentShare, opt.MaxResends = []string{i.http}, 0, 0
				sends := c.runCaller(c.t.Context(), opt)
				if len(sends) == 1 && sends[0].Outcome == record.OutcomeDone {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
			c.t.Errorf("instance %s completed none of 100 requests", i.name)
		})
	}
	group.Wait()
}

// sendRequests sends requests through all instances and returns the sends.
func (c *cluster) sendRequests(ctx context.Context, phase string, seed uint64, mix caller.Mix, count int) []record.Send {
	return c.runCaller(ctx, c.callerOptions(phase, seed, mix, count))
}

func (c *cluster) callerOptions(phase string, seed uint64, mix caller.Mix, count int) caller.Options {
	return caller.Options{
		Name: "portal", Service: sample.Service, Entries: strings.Split(c.entryAddresses(""), ","),
		RequestCount: count, Rate: 40, Concurrency: 48, MaxRunTime: 2 * time.Minute, Mix: mix, NonIdempotentShare: 0.5,
		Deadline: 3 * time.Second, MaxBodyBytes: 512, MaxResends: 3, ResendDelay: 300 * time.Millisecond, Phase: phase, Seed: seed,
	}
}

func (c *cluster) runCaller(ctx context.Context, opt caller.Options) []record.Send {
	generator, err := caller.New(opt, c.journal)
	if err != nil {
		c.t.Error(err)
		return nil
	}
	return generator.Run(ctx)
}

// stop waits for the jobs, then stops the requests and the observation of configurations.
func (l *load) stop() {
	l.jobs.Wait()
	l.cancel()
	l.calls.Wait()
	l.watch.Wait()
}
