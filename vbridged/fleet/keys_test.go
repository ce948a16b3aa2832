package fleet

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/plan"
)

func teamConfig(version uint64, keys ...string) flow.Config {
	team := flow.Team{Name: "a"}
	for _, k := range keys {
		team.Keys = append(team.Keys, flow.HashKey(k))
	}
	return flow.Config{
		Version: version, Queues: []flow.Queue{{Name: "q", Host: "h", Prefix: "/a/"}},
		Access: flow.Access{Enforced: true, Teams: []flow.Team{team}},
	}
}

// newKeyDomain returns a leader without a group, so that a request that goes to the log ends the test, with a lease
// that ends at 1800.
func newKeyDomain(c *manualClock, registry *prometheus.Registry) *Domain {
	d := &Domain{
		options: Options{Clock: c}, state: ledger.New(), metrics: NewMetrics(registry),
		leaderLease: func() (clock.Millis, uint64) { return 1800, 3 },
	}
	planner, _ := plan.New(c.now, plan.Config{Term: 3, Lease: 4500, MaxLease: 6000}, d.state)
	d.session = &session{term: 3, planner: planner}
	return d
}

func requestAs(kind Kind, key string) Request {
	return Request{ID: "r", Kind: kind, Host: "h", Path: "/a/j", Key: flow.HashKey(key), Job: &flow.Job{Steps: []flow.Step{{Count: 1}}}}
}

var allKinds = []Kind{KindSubmit, KindCancel, KindState, KindPending}

// Guards against a flood of wrong keys that fills the log of the domain or that of the process.
func TestWrongKeysCostNoLogEntry(t *testing.T) {
	registry := prometheus.NewRegistry()
	d := newKeyDomain(&manualClock{now: 1000}, registry)
	d.state.Apply(ledger.Configure{Config: teamConfig(7, "k")})
	for range 50 {
		for _, kind := range allKinds {
			for key, reason := range map[string]string{"wrong": reasonUnknownKey, "": reasonNoKey} {
				got, err := d.handleRequest(t.Context(), "front", requestAs(kind, key))
				want := Reply{Status: StatusUnauthorized, Version: 7, Reason: reason, Term: got.Term}
				if diff := cmp.Diff(want, got); err != nil || diff != "" {
					t.Fatalf("%s with key %q: error %v, reply (-want +got):\n%s", kind, key, err, diff)
				}
			}
		}
	}
	if d.refusals.logged != maxRefusalsLogged || d.refusals.skipped != 400-maxRefusalsLogged {
		t.Errorf("%d refusals logged and %d skipped, want %d of 400", d.refusals.logged, d.refusals.skipped, maxRefusalsLogged)
	}
	counted := 0.0
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "vb_refused_keys_total" {
			for _, m := range family.GetMetric() {
				counted += m.GetCounter().GetValue()
			}
		}
	}
	if counted != 400 {
		t.Errorf("%g refusals counted, want 400", counted)
	}
	if ok, skipped := d.refusals.admit(2000); !ok || skipped != 400-maxRefusalsLogged {
		t.Errorf("the first refusal of the next second: logged %t, %d skipped before it", ok, skipped)
	}
}

// Guards against a former leader that was cut off: it does not know of newer versions, so it must neither accept a key
// that they removed nor refuse one that they added.
func TestLeaderWithoutLeaseDecidesNothingAboutKeys(t *testing.T) {
	c := &manualClock{now: 1000}
	d := newKeyDomain(c, prometheus.NewRegistry())
	d.state.Apply(ledger.Configure{Config: teamConfig(7, "old")})
	c.now = 1900
	for _, kind := range allKinds {
		if _, err := d.handleRequest(t.Context(), "front", requestAs(kind, "new")); !errors.Is(err, fault.ErrNotLeader) {
			t.Errorf("%s with a key that this version does not have: error %v, want %v", kind, err, fault.ErrNotLeader)
		}
	}
	for _, kind := range []Kind{KindState, KindPending} {
		if _, err := d.handleRequest(t.Context(), "front", requestAs(kind, "old")); !errors.Is(err, fault.ErrNotLeader) {
			t.Errorf("%s with a key of this version: error %v, want %v", kind, err, fault.ErrNotLeader)
		}
	}
}

// Guards against a leader that has not applied the configuration yet and drops a caller's key: on a public queue, the job of
// a caller with an unknown key runs.
func TestLeaderWithoutLeaseDropsNoKey(t *testing.T) {
	c := &manualClock{now: 1000}
	d := newKeyDomain(c, prometheus.NewRegistry())
	c.now = 1900
	for _, kind := range []Kind{KindSubmit, KindCancel} {
		if _, _, err := d.checkKey(requestAs(kind, "unknown")); !errors.Is(err, fault.ErrNotLeader) {
			t.Errorf("%s with a key before any configuration is known: error %v, want %v", kind, err, fault.ErrNotLeader)
		}
	}
	r := requestAs(KindSubmit, "unknown")
	r.Key = flow.KeyHash{}
	if _, _, err := d.checkKey(r); err != nil {
		t.Errorf("request without a key: error %v, want it to go to the log", err)
	}
}

// Guards against messages that instances of the version before keys can't read, while there are no teams.
func TestRequestsWithoutKeyAreThoseOfEarlierVersions(t *testing.T) {
	r := requestAs(KindSubmit, "k")
	want, err := cbor.Marshal(earlierRequest{ID: r.ID, Kind: r.Kind, Host: r.Host, Path: r.Path, Job: r.Job})
	if err != nil {
		t.Fatal(err)
	}
	got, err := cbor.Marshal(r.plain())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("message without a key (-want +got):\n%s", diff)
	}
	var read plainRequest
	if err := cbor.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	r.Key = flow.KeyHash{}
	if diff := cmp.Diff(r, read.request()); diff != "" {
		t.Errorf("message of an earlier version (-want +got):\n%s", diff)
	}
	if answer, err := json.Marshal(announceReply{Version: 1}); err != nil || strings.Contains(string(answer), "keys") {
		t.Errorf("answer to an announcement without teams: %s, %v", answer, err)
	}
}

// Guards against a front that sends keys to cores that know none, and against one that sends none where there are teams.
func TestFrontSendsKeysOnlyWhereThereAreTeams(t *testing.T) {
	f := &Front{options: Options{Clock: &manualClock{}}, leaderChanged: make(chan struct{})}
	if !f.needsKeys() {
		t.Error("a front that knows no configuration sends no keys")
	}
	for _, r := range []announceReply{{Version: 1}, {Version: 2, Keys: true}, {Version: 1}, {Version: 3}} {
		f.applyAnnounceReply("core", r)
		if want := r.Keys || f.configVersion > r.Version; f.needsKeys() != want {
			t.Errorf("after an answer with version %d and keys %t: sends keys %t, want %t", r.Version, r.Keys, f.needsKeys(), want)
		}
	}
}
