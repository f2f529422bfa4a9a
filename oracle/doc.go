// Package oracle checks the invariants of docs/design.md against a merged
// timeline and the ledgers that workers keep. The tests and the demo use the same
// checks.
//
// Beyond what their names say, the checks require events to have this meaning:
//
//   - RequestAccepted is recorded once for each task. Kind is the kind of work and
//     KeyID the key under which it was accepted. Work without this event is not
//     checked for loss or repetition.
//   - RequestRefused: Task is the ID that the task would have had. Kind is the
//     error kind, whose entry in errkind defines whether the response states that
//     the work did not run.
//   - RequestAnswered is recorded when the outcome of a task is final at its home
//     instance. Kind is "not_run" if the response states that the work did not
//     run. Detail is the SHA-256 digest of the result in hex, if there is a result.
//   - TaskNotRun: with an attempt number, that attempt did not run; with attempt
//     0, no attempt of the task did.
//   - TaskReserved, TaskStartSent: Partition and Epoch are set, and Clock is the
//     time of the decision, against which the ownership term was checked. KeyID is
//     set on TaskStartSent if the task has a key.
//   - OwnershipTaken: Partition and Epoch are set.
//   - LimitInForce: Team, Revision and Size are set; a zero amount means no limit.
//   - KeyGranted, KeyWithdrawn: Team, KeyID and Revision are set.
//   - ConfigInForce: Team and Revision are set; Detail is the name of the document.
//
// A trace may lack evidence for an invariant. Report.Unexamined lists such
// invariants, so that a trace without violations is not taken as proof that they
// hold.
package oracle
