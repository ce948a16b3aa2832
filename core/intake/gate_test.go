package intake_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/intake"
)

const megabyte = 1 << 20

// Guards against clients that open all connections and send nothing or little: an ordinary client finds no room.
func TestNewConnectionsReplaceThoseThatWaitLongest(t *testing.T) {
	g := intake.NewGate(intake.Limits{Conns: 3, Bytes: megabyte})
	for id := range intake.ConnID(3) {
		g.Open(clock.Millis(id), id+1)
	}
	if _, ok := g.Open(500, 4); ok {
		t.Error("a connection replaces one that has waited for half a second")
	}
	g.Receive(900, 1, 100) // its request begins now
	g.Serve(2)
	for _, want := range []intake.ConnID{3, 1} {
		if got, ok := g.Open(2000, 10+want); !ok || got != want {
			t.Errorf("connection %d makes room, %t; want %d", got, ok, want)
		}
	}
}

// Guards against clients that hold memory by requests which they never finish, or send byte by byte: others are refused.
func TestLargeRequestsReplaceThoseThatWaitLongest(t *testing.T) {
	g := intake.NewGate(intake.Limits{Conns: 100, Bytes: megabyte})
	for id := range intake.ConnID(4) {
		g.Open(0, id)
		g.Receive(0, id, megabyte/4+intake.FreeBytes)
	}
	g.Open(10, 10)
	if evicted, ok := g.Receive(10, 10, intake.FreeBytes); !ok || evicted != nil {
		t.Errorf("an ordinary request: %t, closes %v; want it served beside the others", ok, evicted)
	}
	if _, ok := g.Receive(20, 10, 1); ok {
		t.Error("a large request takes memory although no other has waited")
	}
	g.Open(20, 11)
	for _, c := range []struct {
		sender, want intake.ConnID
		bytes        int
	}{
		{sender: 0, bytes: 1, want: 1}, // one that sends a byte now and then
		{sender: 11, bytes: megabyte/4 + intake.FreeBytes, want: 0},
	} {
		evicted, ok := g.Receive(1500, c.sender, c.bytes)
		if diff := cmp.Diff([]intake.ConnID{c.want}, evicted); !ok || diff != "" {
			t.Errorf("request of %d: %t, closes (-want +got):\n%s", c.sender, ok, diff)
		}
	}
}

// Guards against a limit that a single client within the limits of the configuration meets in calm.
func TestSingleLargeRequestIsServed(t *testing.T) {
	g := intake.NewGate(intake.Limits{Conns: 1, Bytes: 1})
	g.Open(0, 1)
	if _, ok := g.Receive(0, 1, megabyte); !ok {
		t.Error("a single request is refused")
	}
}

// Guards against counts that drift, so that the limits stop to hold or nobody is let in any more, and against closing a
// connection whose request is being served.
func TestGateKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := intake.Limits{Conns: rapid.IntRange(1, 8).Draw(t, "conns"), Bytes: rapid.Int64Range(0, 4*intake.FreeBytes).Draw(t, "bytes")}
		g := intake.NewGate(limits)
		received, served := map[intake.ConnID]int64{}, map[intake.ConnID]bool{}
		drop := func(id intake.ConnID) {
			if served[id] {
				t.Fatalf("connection %d is closed while its request is served", id)
			}
			delete(received, id)
		}
		var now clock.Millis
		var last intake.ConnID
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 600).Draw(t, "pause"))
			id := intake.ConnID(rapid.Uint64Range(0, uint64(last)).Draw(t, "id"))
			_, known := received[id]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				last++
				evicted, ok := g.Open(now, last)
				if evicted != 0 {
					drop(evicted)
				}
				if ok {
					received[last] = 0
				}
			case 1:
				if !known || served[id] {
					continue
				}
				n := rapid.IntRange(1, 3*intake.FreeBytes).Draw(t, "n")
				evicted, ok := g.Receive(now, id, n)
				for _, other := range evicted {
					drop(other)
				}
				received[id] += int64(n)
				if !ok {
					delete(received, id)
				}
			case 2:
				g.Serve(id)
				if known {
					served[id] = true
				}
			case 3:
				g.Finish(now, id)
				delete(served, id)
				if known {
					received[id] = 0
				}
			case 4:
				g.Close(id)
				delete(served, id)
				delete(received, id)
			}
			var sum, largest int64
			for _, n := range received {
				counted := max(0, n-intake.FreeBytes)
				sum, largest = sum+counted, max(largest, counted)
			}
			if g.Conns() != len(received) || g.Bytes() != sum {
				t.Fatalf("%d connections with %d bytes, want %d with %d", g.Conns(), g.Bytes(), len(received), sum)
			}
			if len(received) > limits.Conns || (sum > limits.Bytes && sum > largest) {
				t.Fatalf("%d connections with %d bytes, limits %+v", len(received), sum, limits)
			}
		}
	})
}
