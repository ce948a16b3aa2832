package chaos_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

// seed fixes which processes the loops hit.
const seed = 1

// Guards against harm when an instance that leads nothing dies under load.
func TestKillEntry(t *testing.T) {
	runScenario(t, "kill", func(c *cluster) {
		name := c.follower("east-a")
		c.kill(name)
		time.Sleep(3 * time.Second)
		c.startInstance(name, false)
	})
}

// Guards against harm when the leader of a zone dies under load.
func TestKillLeader(t *testing.T) {
	runScenario(t, "leader", func(c *cluster) {
		for _, z := range []model.Zone{"east-a", "west-a"} {
			name := c.waitLeader(z)
			c.kill(name)
			time.Sleep(3 * time.Second)
			c.startInstance(name, false)
		}
	})
}

// Guards against state that is lost when instances die one after the other.
func TestKillLoop(t *testing.T) {
	runScenario(t, "loop", func(c *cluster) {
		rng := rand.New(rand.NewPCG(seed, 0))
		for range 5 {
			name := c.instances[rng.IntN(len(c.instances))].name
			c.kill(name)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			c.startInstance(name, false)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a leader that acts on its old term after a pause.
func TestPauseLeader(t *testing.T) {
	runScenario(t, "pause", func(c *cluster) {
		name := c.waitLeader("west-a")
		c.pause(name)
		time.Sleep(20 * time.Second)
		c.resume(name)
	})
}

// Guards against two sides that both act for a zone when links fall silent.
func TestCutZone(t *testing.T) {
	runScenario(t, "cut", func(c *cluster) {
		c.setPartitioned("north-a", true)
		time.Sleep(15 * time.Second)
		c.setPartitioned("north-a", false)
	})
}

// Guards against a member with an empty data folder that votes as before, and against a
// second loss right after the repair.
func TestWipeAndSecondKill(t *testing.T) {
	runScenario(t, "wipe", func(c *cluster) {
		name := c.follower("east-a")
		c.kill(name)
		c.wipe(name)
		c.startInstance(name, false)
		c.waitReady(20 * time.Second)
		second := c.waitLeader("east-a")
		c.kill(second)
		time.Sleep(5 * time.Second)
		c.startInstance(second, false)
	})
}

// Guards against two winners of one version, and against a resend that changes the answer.
func TestRacingOperators(t *testing.T) {
	runScenario(t, "race", func(c *cluster) {
		for round := range 5 {
			next := c.highestVersion() + 1
			var group sync.WaitGroup
			for n := range 4 {
				group.Go(func() {
					name := fmt.Sprintf("%d-%d", round, n)
					c.submitConfig(next, "race-"+name, "mark-r"+name, 15*time.Second)
					c.submitConfig(next, "race-"+name, "mark-r"+name, 15*time.Second)
				})
			}
			group.Wait()
		}
	})
}

// Guards against jobs that fail because one worker fails all its starts, and against tasks
// that are lost or run twice when another one dies and comes back.
func TestFailingWorker(t *testing.T) {
	runScenario(t, "worker", func(c *cluster) {
		zone := model.OwnerZone("report/b", "b", zones) // its workers hold the batch
		name := "worker-" + region(zone) + "2"
		time.Sleep(2 * time.Second)
		c.kill(name)
		time.Sleep(2 * time.Second)
		c.startWorker(name, zone, 1)
		time.Sleep(2 * time.Second)
	}, "--nostart")
}

// Guards against slots that are used again while a paused backend server still has the
// requests that timed out: it starts them all when it resumes.
func TestPauseServer(t *testing.T) {
	runScenario(t, "server", func(c *cluster) {
		var calls sync.WaitGroup
		calls.Go(func() {
			opt := c.callerOptions("short", 2, [3]int{1, 1, 1}, 4000)
			opt.Rate, opt.Workers, opt.Deadline, opt.Resends = 400, 150, 500*time.Millisecond, 0
			c.runCaller(c.t.Context(), opt)
		})
		for range 3 {
			time.Sleep(time.Second)
			c.pause("server-west1")
			time.Sleep(1500 * time.Millisecond)
			c.resume("server-west1")
		}
		calls.Wait()
	})
}

// Guards against answers that look whole although they are not, requests that run twice and
// requests that fail for good because one backend server of each zone never answers, resets its
// connections or answers with errors at once.
func TestBadServers(t *testing.T) {
	runScenario(t, "bad", func(c *cluster) {
		faults := map[model.Zone]server.Fault{"east-a": server.FaultNever, "west-a": server.FaultReset, "north-a": server.FaultError}
		for z, fault := range faults {
			c.startServer("bad-"+region(z), z, "--fault", string(fault), "--share", "0.5")
		}
		time.Sleep(10 * time.Second)
		for z := range faults {
			c.kill("bad-" + region(z))
		}
	})
}

// Guards against a zone that is cut off, loses one of its two instances and with it the majority
// of its group, and then serves nothing: the last instance has its floor of permits.
func TestLoneInstance(t *testing.T) {
	runScenario(t, "lone", func(c *cluster) {
		c.setPartitioned("north-a", true)
		c.kill("north1")
		time.Sleep(5 * time.Second)
		opt := c.callerOptions("lone", 3, [3]int{1, 1, 1}, 100)
		opt.Entries, opt.Once, opt.Resends = []string{c.findInstance("north2").http}, 0, 0
		done := 0
		for _, s := range c.runCaller(c.t.Context(), opt) {
			if s.Told == record.ToldDone && s.Whole {
				done++
			}
		}
		if done < 95 {
			c.t.Errorf("the lone instance served %d of 100 requests", done)
		}
		c.setPartitioned("north-a", false)
		c.startInstance("north1", false)
	})
}

// Guards against harm when a leader is paused while another zone is cut off.
func TestPauseAndCut(t *testing.T) {
	runScenario(t, "two", func(c *cluster) {
		name := c.waitLeader("east-a")
		c.pause(name)
		c.setPartitioned("north-a", true)
		time.Sleep(10 * time.Second)
		c.setPartitioned("north-a", false)
		time.Sleep(10 * time.Second)
		c.resume(name)
	})
}

// other returns an instance of the zone that does not lead it.
func (c *cluster) follower(z model.Zone) string {
	c.t.Helper()
	leader := c.waitLeader(z)
	for _, name := range members[z] {
		if name != leader {
			return name
		}
	}
	c.t.Fatalf("zone %s has no instance beside its leader", z)
	return ""
}

// scenario runs one kind of failure under load. The arguments go to one worker of each zone.
func runScenario(t *testing.T, kind string, injectFault func(*cluster), workerArgs ...string) {
	t.Parallel()
	bin := programDir(t)
	c := newCluster(t, bin)
	for _, i := range c.instances {
		c.startInstance(i.name, true)
	}
	for _, z := range zones {
		c.startWorker("worker-"+region(z)+"1", z, 1, workerArgs...)
		c.startWorker("worker-"+region(z)+"2", z, 1)
		c.startWorker("worker-"+region(z)+"3", z, 2)
		c.startServer("server-"+region(z)+"1", z)
		c.startServer("server-"+region(z)+"2", z)
	}
	c.waitReady(20 * time.Second)
	first := c.submitConfig(1, "first", "mark-first", 20*time.Second)
	if !first.Accepted {
		t.Fatalf("first configuration: %+v", first)
	}
	c.waitServing()
	l := c.startLoad()
	time.Sleep(2 * time.Second)

	var operator sync.WaitGroup
	operator.Go(func() {
		time.Sleep(time.Second)
		c.submitConfigRetrying("during", 30*time.Second)
	})
	injectFault(c)
	operator.Wait()
	c.waitReady(20 * time.Second)
	if last := c.submitConfigRetrying("after", 20*time.Second); !last.Accepted {
		t.Errorf("configuration after the failure: %+v", last)
	}
	c.waitServing()
	l.stop()
	c.checkRecovered()
	checkJournals(t, c, kind)
}

// recovered checks that requests succeed again once the failure is over.
func (c *cluster) checkRecovered() {
	c.t.Helper()
	done := 0
	sends := c.sendRequests(c.t.Context(), "after", 9, [3]int{1, 1, 1}, 80)
	for _, s := range sends {
		if s.Told == record.ToldDone && s.Whole {
			done++
		}
	}
	if done < 76 {
		c.t.Errorf("after the failure %d of 80 requests were done in %d sends", done, len(sends))
	}
}
