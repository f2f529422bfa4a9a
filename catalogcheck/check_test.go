package catalogcheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// valid returns a configuration without faults.
func valid() Configuration {
	bytes := int64(1 << 18)
	return Configuration{
		Version: 3,
		Queues: []job.Queue{
			{Name: "a", Host: "h", Prefix: "/a/", Service: "calc", Stretch: 2},
			{Name: "b", Host: "h", Prefix: "/a/b/", Service: "calc", Advice: &job.AdvicePolicy{Valid: time.Second}},
			{Name: "c", Host: "other", Prefix: "/a/", Service: "calc"},
		},
		Services: []job.Service{{Name: "calc"}, {Name: "reserve", IsSpare: true}},
		Teams: []job.Team{
			{Name: "red", Weight: 1, Limit: task.Resources{CPUMilli: 5}, Keys: []job.KeyDigest{job.DigestKey("r1"), job.DigestKey("r2")}},
			{Name: "blue", Keys: []job.KeyDigest{job.DigestKey("b")}},
		},
		Limits: Limits{MaxBodyBytes: &bytes},
	}
}

// TestCheck guards against a fault of each kind that is not found, or that is found at another place, and
// against faults in a configuration that is right.
func TestCheck(t *testing.T) {
	zero, none := int64(0), time.Duration(0)
	for name, c := range map[string]struct {
		change func(*Configuration)
		want   []Place
	}{
		"none":                    {func(*Configuration) {}, nil},
		"no version":              {func(c *Configuration) { c.Version = 0 }, []Place{{Section: General, Field: Version}}},
		"shadowed prefix":         {func(c *Configuration) { c.Queues[1].Prefix = "/a/" }, []Place{{Section: Queues, Index: 1, Field: Prefix}}},
		"relative prefix":         {func(c *Configuration) { c.Queues[0].Prefix = "a/" }, []Place{{Section: Queues, Field: Prefix}}},
		"no host":                 {func(c *Configuration) { c.Queues[2].Host = "" }, []Place{{Section: Queues, Index: 2, Field: Host}}},
		"host with a port":        {func(c *Configuration) { c.Queues[2].Host = "h:80" }, []Place{{Section: Queues, Index: 2, Field: Host}}},
		"queue without a service": {func(c *Configuration) { c.Queues[2].Service = "" }, []Place{{Section: Queues, Index: 2, Field: Service}}},
		"unknown service":         {func(c *Configuration) { c.Queues[2].Service = "x" }, []Place{{Section: Queues, Index: 2, Field: Service}}},
		"duplicate queue":         {func(c *Configuration) { c.Queues[2].Name = "a" }, []Place{{Section: Queues, Index: 2, Field: Name}}},
		"service without queues":  {func(c *Configuration) { c.Services[1].IsSpare = false }, []Place{{Section: Services, Index: 1}}},
		"expired tickets":         {func(c *Configuration) { c.Queues[1].Advice.Valid = 0 }, []Place{{Section: Queues, Index: 1, Field: AdviceValid}}},
		"stretch below 1":         {func(c *Configuration) { c.Queues[0].Stretch = 0.5 }, []Place{{Section: Queues, Field: Stretch}}},
		"negative values": {func(c *Configuration) { c.Queues[0].Priority, c.Teams[0].Limit.MemoryMB = -1, -1 },
			[]Place{{Section: Queues, Field: Priority}, {Section: Teams, Field: LimitMemory}}},
		"weight 0 with a limit": {func(c *Configuration) { c.Teams[0].Weight = 0 }, []Place{{Section: Teams, Field: Weight}}},
		"key of two teams": {func(c *Configuration) { c.Teams[1].Keys[0] = job.DigestKey("r2") },
			[]Place{{Section: Teams, Index: 1, Field: Key}}},
		"key twice": {func(c *Configuration) { c.Teams[0].Keys[1] = job.DigestKey("r1") },
			[]Place{{Section: Teams, Field: Key, Element: 1}}},
		"empty key":     {func(c *Configuration) { c.Teams[1].Keys[0] = job.DigestKey("") }, []Place{{Section: Teams, Index: 1, Field: Key}}},
		"no team name":  {func(c *Configuration) { c.Teams[1].Name = "" }, []Place{{Section: Teams, Index: 1, Field: Name}}},
		"body limit 0":  {func(c *Configuration) { c.Limits.MaxBodyBytes = &zero }, []Place{{Section: RequestLimits, Field: MaxBodyBytes}}},
		"timeouts of 0": {func(c *Configuration) { c.Limits.IdleTimeout = &none }, []Place{{Section: RequestLimits, Field: IdleTimeout}}},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := valid()
			c.change(&configuration)
			var got []Place
			for _, f := range Check(configuration) {
				got = append(got, f.Place)
				if f.Message == "" || f.Allowed == "" {
					t.Errorf("%+v lacks a text", f)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestCheckVersion guards against a changed configuration with the version of another one.
func TestCheckVersion(t *testing.T) {
	for version, want := range map[int64]int{4: 1, 5: 1, 6: 0} {
		if got := len(CheckVersion(version, 5)); got != want {
			t.Errorf("version %d after 5: %d findings, want %d", version, got, want)
		}
	}
}
