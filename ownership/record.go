package ownership

import "github.com/mulberrydrum/mulberrydrum/membership"

// Record is the ownership record of a unit. It is kept in the store and never deleted.
type Record struct {
	Unit          string      `json:"unit"`
	Owner         string      `json:"owner"`          // incarnation
	OwnerInstance string      `json:"owner_instance"` // instance of that incarnation
	Epoch         uint64      `json:"epoch"`          // fencing token; incremented with each change of owner
	Successors    []Successor `json:"successors,omitempty"`
	Revision      int64       `json:"-"` // of the store; 0 if there is no record
}

// Successor identifies an incarnation that may take a unit over.
type Successor struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Action is an instruction or a notification from a Table to its caller.
type Action interface{ action() }

// Write requests one transaction that replaces the record of a unit. The transaction
// succeeds only if the record's last revision is ExpectedRevision (0: absent) and the
// member key of every instance in AbsentMembers is absent. The caller must report the
// outcome of each Write with exactly one call of WriteDone.
type Write struct {
	Record           Record
	ExpectedRevision int64
	AbsentMembers    []string
	Reason           Reason
}

// RequestPromises requests a promise from each of the successors for one promise window.
// The caller reads its clock before it sends the requests and passes that time to
// PromiseReplied.
type RequestPromises struct {
	Unit       string
	Owner      string
	Epoch      uint64
	Successors []Successor
}

// Gained reports that this process may act for the unit from now on.
type Gained struct {
	Unit     string
	Epoch    uint64
	Revision int64 // of the record, for compares in other transactions
}

// RevisionChanged reports that the record of a held unit was replaced by a new revision with the
// same owner and epoch. Transactions that compare the record's revision must use the new
// one from now on. It is unrelated to the renewal of the lease.
type RevisionChanged struct {
	Unit     string
	Revision int64
}

// Lost reports that this process may no longer act for the unit.
type Lost struct {
	Unit   string
	Epoch  uint64
	Reason Reason
}

func (Write) action()           {}
func (RequestPromises) action() {}
func (Gained) action()          {}
func (RevisionChanged) action() {}
func (Lost) action()            {}

// Reason is why a record is written or a unit is lost.
type Reason string

const (
	ReasonClaim      Reason = "claim"      // there was no record
	ReasonTakeover   Reason = "takeover"   // by a named successor
	ReasonRestart    Reason = "restart"    // by a new incarnation on the owner's or a successor's instance
	ReasonAllGone    Reason = "all_gone"   // owner and successors are gone from store and instance list
	ReasonForced     Reason = "forced"     // an operator declared that they are gone
	ReasonSuccessors Reason = "successors" // the owner updates its list of successors
	ReasonMove       Reason = "move"       // handover to the preferred member
	ReasonRelease    Reason = "release"    // handover by an owner that drains or stops
	ReasonFence      Reason = "fence"      // rewrites the known record, so that an indeterminate write can no longer take effect
	ReasonTermEnded  Reason = "term_ended" // neither the store nor all successors confirmed in time
	ReasonTaken      Reason = "taken"      // the record names another owner or epoch
)

// Outcome is the result of a Write.
type Outcome int

const (
	Succeeded Outcome = iota + 1
	Conflict          // a compare failed
	Unclear           // indeterminate: the write may have taken effect or may do so later
	NoEffect          // the write did not and will not take effect
)

// WriteResult reports the outcome of a Write.
type WriteResult struct {
	Outcome  Outcome
	Revision int64   // of the record, if the write succeeded
	Current  *Record // record that the store returned with a conflict; nil if it returned none
}

func successorOf(m membership.Member) Successor {
	return Successor{Instance: m.Instance, Incarnation: m.Incarnation}
}
