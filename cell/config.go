package cell

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// Config configures a State.
type Config struct {
	Self                 Owner         // this instance's ownership record
	RenewInterval        time.Duration // between renewals of the ownership lease
	TickInterval         time.Duration // between ticks on the owner
	FollowerTickInterval time.Duration // between ticks on other instances
	CampaignSlotLength   time.Duration // length of a campaign slot, long enough that usually only one instance writes
	CampaignSlots        int           // number of slots that instances are spread over
	CampaignRetryDelay   time.Duration // backoff after a lost campaign
	Cores                float64       // processor cores available to this instance; may be fractional
	IsolationTimeout     time.Duration // time without contact to the store and to other instances after which an owner steps down
	OwnershipTTL         time.Duration // of the lease of the ownership record
	FollowerTimeout      time.Duration // time without a request after which another instance may follow another owner
	SmallInstanceDelay   time.Duration // extra campaign delay of instances with fewer cores than others
	MaxDirectoryAge      time.Duration // age of the list of workers from which on the owner starts no tasks
	MaxInboxAge          time.Duration // the same for the cancellations in the store
	MaxCatalogAge        time.Duration // the same for the configuration
	KeyFreshness         time.Duration // how long after the last store sync API keys are accepted
	ReadinessTimeout     time.Duration // how long after the last store sync the instance is ready for new connections
	Schedule             schedule.Config
	Now                  func() time.Time // reads a monotonic clock, which counts suspensions of the machine; time.Now if nil
}

// DefaultConfig returns values that meet the platform's time limits.
func DefaultConfig(self Owner, cores float64) Config {
	return Config{
		Self:  self,
		Cores: cores,
		// Four renewals fit into the ownership lease, so that three may be lost in a row.
		RenewInterval:        300 * time.Millisecond,
		TickInterval:         10 * time.Millisecond,
		FollowerTickInterval: 40 * time.Millisecond,
		// A slot covers one write to a store in another region, which takes 30 ms.
		CampaignSlotLength: 40 * time.Millisecond,
		CampaignSlots:      8,
		OwnershipTTL:       1200 * time.Millisecond,
		// A successor assumes that this owner grants leases to workers until two poll
		// intervals of schedule.Config after its own start, which is at least the lease of the
		// ownership record after the last renewal, and later than its last request to this owner.
		IsolationTimeout:   1500 * time.Millisecond,
		FollowerTimeout:    1500 * time.Millisecond,
		CampaignRetryDelay: 400 * time.Millisecond,
		// Longer than the slots of all larger instances (CampaignSlots x CampaignSlotLength)
		// and one write.
		SmallInstanceDelay: 500 * time.Millisecond,
		// A worker that leaves must get no tasks after 2.5 s, a cancelled job after 3 s,
		// and a configuration must be in force after 2.5 s, of which a start order may
		// take 0.7 s. In a calm store, the list of workers is up to 0.8 s old, the others
		// up to 2 s.
		MaxDirectoryAge: 1500 * time.Millisecond,
		MaxInboxAge:     2300 * time.Millisecond,
		MaxCatalogAge:   2500 * time.Millisecond,
		// Withdrawn keys must be rejected within 5 s, and a watch that receives
		// nothing lags by at most one second.
		KeyFreshness:     3500 * time.Millisecond,
		ReadinessTimeout: 3 * time.Second,
		Schedule:         schedule.DefaultConfig(),
	}
}
