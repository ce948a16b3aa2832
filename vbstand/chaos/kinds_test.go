package chaos_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

// seed makes the processes that TestKillLoop kills, and its pauses, reproducible.
const seed = 1

// Guards against violations when an instance that does not lead its zone is killed under load.
func TestKillEntry(t *testing.T) {
	runScenario(t, "kill", func(c *cluster) {
		name := c.follower("east-a")
		c.kill(name)
		time.Sleep(3 * time.Second)
		c.startInstance(name, false)
	})
}

// Guards against violations when the leader of a zone is killed under load.
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

// Guards against lost state when instances are killed one after the other.
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

// Guards against a leader that still acts in its old term after a pause of 20 s.
func TestPauseLeader(t *testing.T) {
	runScenario(t, "pause", func(c *cluster) {
		name := c.waitLeader("west-a")
		c.pause(name)
		time.Sleep(20 * time.Second)
		c.resume(name)
	})
}

// Guards against both sides of a partition acting for a zone. The partition drops data without
// closing connections.
func TestPartitionZone(t *testing.T) {
	runScenario(t, "cut", func(c *cluster) {
		c.setPartitioned("north-a", true)
		time.Sleep(15 * time.Second)
		c.setPartitioned("north-a", false)
	})
}

// Guards against a member that votes as before although its data folder was deleted, and against
// lost state when the leader is killed right after that member has recovered.
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

// Guards against two submissions being accepted for one version, and against a resend that gets a
// different answer.
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

// Guards against jobs that fail because one worker of each zone fails every task start, and against
// tasks that are lost or run twice when another worker is killed and restarted.
func TestFailingWorker(t *testing.T) {
	runScenario(t, "worker", func(c *cluster) {
		zone := model.OwnerZone("report/b", "b", zones) // workers of this zone run the batch job
		name := "worker-" + region(zone) + "2"
		time.Sleep(2 * time.Second)
		c.kill(name)
		time.Sleep(2 * time.Second)
		c.startWorker(name, zone, 1)
		time.Sleep(2 * time.Second)
	}, "--nostart")
}

// Guards against slots being reused while a paused backend server still holds requests that timed
// out. The server starts all of them when it resumes.
func TestPauseServer(t *testing.T) {
	runScenario(t, "server", func(c *cluster) {
		var calls sync.WaitGroup
		calls.Go(func() {
			opt := c.callerOptions("short", 2, [3]int{1, 1, 1}, 4000)
			opt.Rate, opt.Concurrency, opt.Deadline, opt.MaxResends = 400, 150, 500*time.Millisecond, 0
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

// Guards against incomplete answers reported as done, requests that run twice, and requests that fail
// permanently, when one backend server of each zone is faulty. Depending on the zone it never
// answers, resets connections or returns errors immediately.
func TestBadServers(t *testing.T) {
	runScenario(t, "bad", func(c *cluster) {
		faults := map[model.Zone]server.Fault{"east-a": server.FaultNoAnswer, "west-a": server.FaultReset, "north-a": server.FaultError}
		for z, fault := range faults {
			c.startServer("bad-"+region(z), z, "--fault", string(fault), "--share", "0.5")
		}
		time.Sleep(10 * time.Second)
		for z := range faults {
			c.kill("bad-" + region(z))
		}
	})
}

// Guards against a zone that serves no requests after a partition and the loss of one of its two
// instances, which leave it without quorum. The remaining instance may still use its minimum of
// permits.
func TestInstanceWithoutQuorum(t *testing.T) {
	runScenario(t, "lone", func(c *cluster) {
		c.setPartitioned("north-a", true)
		c.kill("north1")
		time.Sleep(5 * time.Second)
		opt := c.callerOptions("lone", 3, [3]int{1, 1, 1}, 100)
		opt.Entries, opt.NonIdempotentShare, opt.MaxResends = []string{c.findInstance("north2").http}, 0, 0
		done := 0
		for _, s := range c.runCaller(c.t.Context(), opt) {
			if s.Outcome == record.OutcomeDone && s.BodyValid {
				done++
			}
		}
		if done < 95 {
			c.t.Errorf("instance north2, without quorum, served %d of 100 requests, want at least 95", done)
		}
		c.setPartitioned("north-a", false)
		c.startInstance("north1", false)
	})
}

// Guards against violations when a leader is paused while another zone is partitioned.
func TestPauseDuringPartition(t *testing.T) {
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

// follower returns an instance of the zone that is not its leader.
func (c *cluster) follower(z model.Zone) string {
	c.t.Helper()
	leader := c.waitLeader(z)
	for _, name := range members[z] {
		if name != leader {
			return name
		}
	}
	c.t.Fatalf("zone %s has no instance other than its leader", z)
	return ""
}

// runScenario starts a cluster under load, injects a fault and checks that the cluster recovers and
// that the journals show no violation. workerArgs are passed to one worker of each zone.
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
		t.Fatalf("first configuration was not accepted: %+v", first)
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
		t.Errorf("configuration submitted after the fault was not accepted: %+v", last)
	}
	c.waitServing()
	l.stop()
	c.checkRecovered()
	checkJournals(t, c, kind)
}

// checkRecovered checks that requests succeed again after the fault.
func (c *cluster) checkRecovered() {
	c.t.Helper()
	done := 0
	sends := c.sendRequests(c.t.Context(), "after", 9, [3]int{1, 1, 1}, 80)
	for _, s := range sends {
		if s.Outcome == record.OutcomeDone && s.BodyValid {
			done++
		}
	}
	if done < 76 {
		c.t.Errorf("after the fault %d of 80 requests succeeded in %d sends, want at least 76", done, len(sends))
	}
}

// Guards against a backend server that starts again at its address and gets the requests for its former process beside its
// own, which is more than it can carry.
func TestRestartServer(t *testing.T) {
	runScenario(t, "again", func(c *cluster) {
		var calls sync.WaitGroup
		calls.Go(func() {
			opt := c.callerOptions("short", 2, [3]int{1, 1, 1}, 4000)
			opt.Rate, opt.Concurrency, opt.Deadline, opt.MaxResends = 400, 150, 500*time.Millisecond, 0
			c.runCaller(c.t.Context(), opt)
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		for range 4 {
			c.startServer("again", "west-a", "--listen", address, "--time", "300ms")
			time.Sleep(2 * time.Second)
			c.kill("again")
		}
		calls.Wait()
	})
}
