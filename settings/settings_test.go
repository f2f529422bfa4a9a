package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validFields = `{"instance": "a", "region": "north", "failure_domain": "n1", "regions": ["north", "south"],
"caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2", "entry_address": "127.0.0.1:3",
"store_endpoints": ["127.0.0.1:4"], "instance_list_endpoint": "127.0.0.1:5"`

// TestFaults guards against accepting settings that contradict each other or with
// which an instance cannot run.
func TestFaults(t *testing.T) {
	digest := strings.Repeat("0f", 32)
	cases := []struct{ name, src, path string }{
		{"no instance", strings.Replace(validFields, `"instance": "a", `, "", 1), "instance"},
		{"region that is not in regions", strings.Replace(validFields, `"region": "north"`, `"region": "east"`, 1), "region"},
		{"duplicate region", strings.Replace(validFields, `"south"`, `"north"`, 1), "regions[1]"},
		{"host name", strings.Replace(validFields, "127.0.0.1:3", "localhost:3", 1), "entry_address"},
		{"port 0", strings.Replace(validFields, "127.0.0.1:4", "127.0.0.1:0", 1), "store_endpoints[0]"},
		{"duplicate address", strings.Replace(validFields, "127.0.0.1:3", "127.0.0.1:2", 1), "entry_address"},
		{"unspecified entry address", strings.Replace(validFields, "127.0.0.1:3", "0.0.0.0:3", 1), "entry_address"},
		{"operators without a key", strings.Replace(validFields, "127.0.0.1:2", "10.0.0.1:2", 1), "operator_address"},
		{"short digest", validFields + `, "operator_keys": [{"name": "els", "digest": "0f"}]`, "operator_keys[0].digest"},
		{"operator without a name", validFields + `, "operator_keys": [{"digest": "` + digest + `"}]`, "operator_keys[0].name"},
		{"unknown log level", validFields + `, "log_level": "loud"`, "log_level"},
		{"unknown field", validFields + `, "store_ttl": "9s"`, "store_ttl"},
		{"value above the maximum", validFields + `, "key_freshness": "11s"`, "key_freshness"},
		{"negative value", validFields + `, "clock_drift": -0.1`, "clock_drift"},
		{"duration without a unit", validFields + `, "task_lease": 30`, "task_lease"},
		{"keepalive of half the lease", validFields + `, "store_lease_ttl": "6s"`, "keepalive_interval"},
		{"store call timeout above the keepalive interval", validFields + `, "store_call_timeout": "4s"`, "store_call_timeout"},
		{"key freshness not above the keepalive interval", validFields + `, "key_freshness": "3s"`, "key_freshness"},
		{"task lease shorter than a takeover", validFields + `, "task_lease": "14s"`, "task_lease"},
		{"start validity not above the sync interval", validFields + `, "worker_sync_interval": "3s"`, "start_validity"},
		{"clock margin of half the promise window", validFields + `, "clock_margin": "2500ms"`, "clock_margin"},
		{"fewer than three syncs per task lease", validFields + `, "worker_sync_interval": "11s", "start_validity": "12s"`, "worker_sync_interval"},
		{"durable request limit above the request limit", validFields + `, "max_request_bytes": 60000`, "max_durable_request_bytes"},
		{"shard limit above the transaction limit", validFields + `, "max_shard_bytes": 800000`, "ledger_txn_bytes"},
		{"cross-region digest interval below the regional one", validFields + `, "digest_interval": "6s"`, "digest_interval_cross_region"},
		{"allowance interval above the idle time", validFields + `, "allowance_interval": "31s"`, "allowance_idle"},
		{"client memory below ten bodies", validFields + `, "client_memory_bytes": 40000000`, "client_memory_bytes"},
		{"read timeout below the header timeout", validFields + `, "read_header_timeout": "11s"`, "read_timeout"},
	}
	for _, c := range cases {
		_, faults := Parse([]byte(c.src + "}"))
		if len(faults) != 1 || faults[0].Path != c.path || faults[0].Allowed == "" {
			t.Errorf("%s: faults = %v, want one at %s", c.name, faults, c.path)
		}
	}
	if _, faults := Parse([]byte(validFields + `, "operator_keys": [{"name": "els", "digest": "` + digest + `"}]}`)); len(faults) > 0 {
		t.Errorf("valid settings: %v", faults)
	}
}

// TestDefaultsMatchDesign guards against a default that differs from section 7 of
// the design page.
func TestDefaultsMatchDesign(t *testing.T) {
	s := Default()
	got := []any{s.StoreLeaseTTL, s.KeepaliveInterval, s.PromiseWindow, s.ClockDrift, s.ClockMargin, s.TaskLease, s.StartValidity,
		s.WorkerSyncInterval, s.KeyFreshness, s.ListLag, s.LedgerFlushInterval, s.ResultRetention, s.DrainTimeout, s.QueueLimitPerTeam,
		s.DigestInterval, s.DigestIntervalCrossRegion, s.AllowanceIdle, s.AllowanceInterval, s.MaxResultBytes, s.MaxRequestBytes,
		s.MaxDurableRequestBytes, s.LedgerTxnBytes}
	const second = time.Second
	want := []any{9 * second, 3 * second, 5 * second, 0.01, second / 10, 30 * second, 3 * second,
		second, 5 * second, 10 * second, second / 50, 600 * second, 30 * second, 1000,
		second, 5 * second, 30 * second, second / 4, int64(16 << 20), int64(1 << 20),
		int64(64 << 10), int64(768 << 10)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("defaults = %v, want %v", got, want)
	}
}

// TestJSONIsParsed guards against settings being printed in a form that the daemon
// rejects.
func TestJSONIsParsed(t *testing.T) {
	s, faults := Parse([]byte(validFields + `, "store_lease_ttl": "7s"}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	text, err := s.JSON()
	if err != nil {
		t.Fatal(err)
	}
	reparsed, faults := Parse(text)
	if len(faults) > 0 || !reflect.DeepEqual(s, reparsed) || !strings.Contains(string(text), `"store_lease_ttl": "7s"`) {
		t.Errorf("printed %s: %v", text, faults)
	}
}

// TestLoadErrorNamesFile guards against a line of the error without the file name
// and the position of its fault.
func TestLoadErrorNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.jsonc")
	if err := os.WriteFile(path, []byte(validFields+",\n\"log_level\": 1, \"pprof\": 2}"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if err == nil || !strings.HasPrefix(err.Error(), path+":4:14: log_level: ") || strings.Count(err.Error(), path) != 2 {
		t.Errorf("error = %v", err)
	}
}

// TestReferencePage guards against a table in docs/settings.md that differs from
// the settings.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Reference()) {
		t.Errorf("docs/settings.md does not contain this table:\n%s", Reference())
	}
}

// FuzzParse guards against a panic, and against accepted settings whose printed form
// is rejected or parsed to other values.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFields + "}"))
	f.Add([]byte(validFields + `, "operator_keys": [{"name": 1}, null], "clock_drift": 1e400}`))
	f.Add([]byte(`{"regions": [[]], "store_endpoints": ["[::1]:7", "::1"], "task_lease": "9999999h"}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, faults := Parse(src)
		if len(faults) > 0 {
			return
		}
		text, err := s.JSON()
		if err != nil {
			t.Fatal(err)
		}
		if reparsed, faults := Parse(text); len(faults) > 0 || !reflect.DeepEqual(s, reparsed) {
			t.Errorf("printed %s: %v", text, faults)
		}
	})
}
