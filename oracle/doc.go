// Package oracle checks the invariants of the design page over a merged time
// line and the ledgers that workers keep. Every test, the demo and the load
// command use the same checks.
//
// What the checks take the events to mean, beyond their names:
//
//   - RequestAccepted: once for each task, with Kind the kind of work and KeyID
//     the key under which it was accepted. Work without this event is not
//     checked for being lost or repeated.
//   - RequestRefused: Task is the task that would have been, Kind is the error
//     kind, whose row in errkind says whether the caller was told "not run".
//   - RequestAnswered: recorded when the outcome of a task is final at its home.
//     Kind is "not_run" if that was said, Detail the SHA-256 digest of the result
//     in hex where there is one.
//   - TaskNotRun: with an attempt, that attempt did not run; with attempt 0, no
//     attempt of the task did.
//   - TaskReserved, TaskStartSent: Partition and Epoch are set, and the clock is
//     that of the decision, for which the term was checked. KeyID is set on
//     TaskStartSent where there is one.
//   - OwnershipTaken: Partition and Epoch are set.
//   - LimitInForce: Team, Revision and Size; an amount of zero is not limited.
//   - KeyGranted, KeyWithdrawn: Team, KeyID and Revision.
//   - ConfigInForce: Team, Revision and in Detail the name of the document.
//
// A trace may hold no evidence on an invariant; Report.Unexamined tells which,
// so that a run without violations is not taken for a proof of all of them.
package oracle
