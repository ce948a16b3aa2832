package config_test

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"vanillabridge/core/fault"
	"vanillabridge/core/golden"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
	"vanillabridge/vbridged/config"
)

// Guards against a settings page that differs from the table. Run with -update after a change of the
// table.
func TestSettingsPageMatchesTable(t *testing.T) {
	var b strings.Builder
	if err := config.WriteReference(&b); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "../../docs/settings.md", b.String())
}

// Guards against accepting invalid settings, and against error lines that do not name the file, the
// section and the key.
func TestInvalidSettingsMessages(t *testing.T) {
	for _, name := range []string{"bad-keys", "bad-rules", "empty"} {
		_, err := config.Load("testdata/" + name + ".ini")
		if !errors.Is(err, fault.ErrInvalid) {
			t.Fatalf("%s: error %v, want ErrInvalid", name, err)
		}
		for line := range strings.Lines(err.Error()) {
			if !strings.HasPrefix(line, "testdata/"+name+".ini: ") {
				t.Errorf("%s: error line %q does not start with the file name", name, line)
			}
		}
		golden.Check(t, "testdata/"+name+".golden", err.Error()+"\n")
	}
	if _, err := config.Load("testdata/none.ini"); !errors.Is(err, fault.ErrInvalid) {
		t.Errorf("Load of a missing file: error %v, want ErrInvalid", err)
	}
}

// Guards against settings that are checked and documented but have no effect: each field of the settings is
// read somewhere outside this package.
func TestSettingsAreRead(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../config/") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	passedWhole := []string{"Log", "Trace", "TLS"} // their users have the section, not the settings
	sections := reflect.TypeFor[config.Settings]()
	for section := range sections.Fields() {
		if section.Type.Kind() != reflect.Struct {
			continue // the sections with a list of instances
		}
		for field := range section.Type.Fields() {
			use := "." + section.Name + "." + field.Name
			if slices.Contains(passedWhole, section.Name) {
				use = "." + field.Name
			}
			if !strings.Contains(code.String(), use) {
				t.Errorf("%s.%s is read nowhere outside package config", section.Name, field.Name)
			}
		}
	}
}

// Guards against assigning a value to the wrong field, and against missing defaults.
func TestLoadAssignsValuesAndDefaults(t *testing.T) {
	got, err := config.Load("testdata/good.ini")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort
	want := config.Settings{
		Instance: config.Instance{Name: "east-1", Zone: "east-a", Region: "east", DataDir: "/var/lib/vanillabridge", Bootstrap: true},
		Listen:   config.Listen{HTTPAddress: address("0.0.0.0:8080"), PeerAddress: address("0.0.0.0:7000")},
		Peers: []config.Peer{
			{Name: "east-2", Zone: "east-a", Region: "east", HTTPAddress: address("10.0.1.2:8080"), PeerAddress: address("10.0.1.2:7000")},
			{Name: "west-1", Zone: "west-a", Region: "west", HTTPAddress: address("10.0.2.1:8080"), PeerAddress: address("10.0.2.1:7000")},
		},
		Group: config.Group{
			Voters: []model.Instance{"east-1", "east-2"}, Witness: "west-1",
			CellVoters: []model.Instance{"east-1", "west-1", "east-2"}, ElectionTimeout: 2000, HeartbeatInterval: 150,
		},
		Witnesses: []config.Witness{{Zone: "west-a", Voters: []model.Instance{"west-1"}}},
		Entry:     config.Entry{MaxRequestTime: 10_000, MaxHeaderBytes: 64 << 10, MaxBodyBytes: 16 << 20, MaxQueuedRequests: 10_000},
		Worker:    config.Worker{LeaseDuration: 10_000},
		Drain:     config.Drain{Timeout: 30_000},
		Log:       config.Log{Level: config.LevelDebug},
		Trace:     config.Trace{MaxEvents: 32_768, MaxFileBytes: 64 << 20},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	wantZones := []spec.KnownZone{{Zone: "east-a", Region: "east"}, {Zone: "west-a", Region: "west"}}
	if diff := cmp.Diff(wantZones, got.Zones()); diff != "" {
		t.Errorf("Zones() (-want +got):\n%s", diff)
	}
	if peers := got.SameZonePeers(); len(peers) != 1 || peers[0].Name != "east-2" {
		t.Errorf("SameZonePeers() = %v, want east-2", peers)
	}
}

// Guards against settings text that makes Parse panic or pass values outside the limits.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.ini")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := config.Parse("f", text)
		if err == nil && (s.Instance.Zone == "" || len(s.Zones()) == 0 || s.Entry.MaxRequestTime > spec.MaxDeadline) {
			t.Errorf("Parse accepted settings outside the limits: %+v", s)
		}
	})
}
