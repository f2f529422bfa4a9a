// Package oracle checks the invariants of the design page over a merged time
// line and the ledgers that workers keep. Every test, the demo and the load
// command use the same checks.
//
// What the checks take the events to mean, beyond their names:
//
//   - RequestAccepted: once for each task, with Kind the kind of work and KeyID
//     the key under which it was accepted.
//   - RequestRefused: Kind is the error kind, whose row in errkind says whether
//     the caller was told "not run".
//   - RequestAnswered: Kind is the fate, Detail the SHA-256 digest of the result
//     in hex where there is one.
//   - TaskNotRun: with an attempt, that attempt did not run; with attempt 0, no
//     attempt of the task did.
//   - TaskPlaced, TaskFinished: the attempt is set.
//   - TaskReserved, TaskStartSent: Partition and Epoch are set, and the clock is
//     that of the decision, for which the term was checked.
//   - OwnershipTaken: Partition and Epoch are set.
//   - LimitInForce: Team, Revision and Size; an amount of zero is not limited.
//   - KeyGranted, KeyWithdrawn: Team, KeyID and Revision.
//   - ConfigInForce: Team, Revision and in Detail the name of the document.
package oracle
