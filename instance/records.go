package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// Keys in the store. Every instance writes under inboxPrefix, on the condition that the
// job is not yet recorded; everything else is written by the owner, on the condition
// that its ownership and sequence records are unchanged.
const (
	keyOwner       = "mulberrydrum/owner"       // ownership record of the partition; attached to the owner's lease
	keyCores       = "mulberrydrum/owner-cores" // highest core count of any instance; watched together with the owner
	sequencePrefix = "mulberrydrum/sequence/"   // one record for each commit stream; changes with every commit of the stream
	keyRoster      = "mulberrydrum/roster"      // workers on which tasks may be running
	keyPastUse     = "mulberrydrum/use"         // past use of the teams
	inboxPrefix    = "mulberrydrum/in/"
	jobPrefix      = inboxPrefix + "job/"    // accepted jobs that have not ended
	cancelPrefix   = inboxPrefix + "cancel/" // cancellations that were recorded while no owner responded
	progressPrefix = "mulberrydrum/progress/"
	finalPrefix    = "mulberrydrum/final/" // jobs that have ended
)

func sequenceKey(stream int) string { return sequencePrefix + strconv.Itoa(stream) }

func jobKey(id job.ID) string      { return jobPrefix + string(id) }
func cancelKey(id job.ID) string   { return cancelPrefix + string(id) }
func progressKey(id job.ID) string { return progressPrefix + string(id) }
func finalKey(id job.ID) string    { return finalPrefix + string(id) }

// sequenceRecord identifies a commit uniquely among all owners, so that a retry
// recognizes a commit whose response was lost.
type sequenceRecord struct {
	Incarnation      string `json:"owner"`   // of the owner's process
	PreviousRevision int64  `json:"follows"` // revision of the stream's previous record
}

// coresRecord holds the core count of the largest instance.
type coresRecord struct {
	Cores float64 `json:"cores"`
}

// encodeCommit returns the transaction of a commit.
func encodeCommit(e cell.CommitRecords, sequence []byte) (store.Txn, error) {
	txn := store.Txn{
		Compares: []store.Compare{{Key: keyOwner, ModRevision: e.OwnerRevision}, {Key: sequenceKey(e.Commit.Stream), ModRevision: e.Sequence}},
		Puts:     []store.Put{{Key: sequenceKey(e.Commit.Stream), Value: sequence}},
	}
	put := func(key string, record any) error {
		value, err := job.Encode(record)
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
		return nil
	}
	if e.Commit.Roster != nil {
		if err := put(keyRoster, e.Commit.Roster); err != nil {
			return txn, err
		}
	}
	if e.Commit.PastUse != nil {
		if err := put(keyPastUse, e.Commit.PastUse); err != nil {
			return txn, err
		}
	}
	for _, change := range e.Commit.Changes {
		if change.Final != nil {
			if err := put(finalKey(change.Job), change.Final); err != nil {
				return txn, err
			}
			txn.Deletes = append(txn.Deletes, jobKey(change.Job))
			if change.HadProgress {
				txn.Deletes = append(txn.Deletes, progressKey(change.Job))
			}
			if change.MayBeCancelled {
				txn.Deletes = append(txn.Deletes, cancelKey(change.Job))
			}
			continue
		}
		if err := put(progressKey(change.Job), change.Progress); err != nil {
			return txn, err
		}
	}
	return txn, nil
}

// readRecovery reads the state that a new owner resumes from. No later commit of a former
// owner can succeed, since the ownership record in its condition has changed. The reads
// run concurrently, since a slow store responds to only a few sequential reads per second.
func (i *Instance) readRecovery(ctx context.Context) (cell.Recovery, error) {
	recovery := cell.Recovery{AsOf: clock.Now()}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.readSequences(ctx, &recovery) })
	group.Go(func() error { return i.readJobs(ctx, &recovery) })
	group.Go(func() error { return i.readRoster(ctx, &recovery) })
	if i.cfg.Schedule.PastUseHalfLife > 0 {
		group.Go(func() error { return i.readPastUse(ctx, &recovery) })
	}
	group.Go(func() (err error) {
		recovery.Workers, err = i.cfg.Directory.Workers(ctx)
		return eris.Wrap(err, "read the directory of workers")
	})
	return recovery, group.Wait()
}

func (i *Instance) readSequences(ctx context.Context, recovery *cell.Recovery) error {
	kvs, _, err := i.cfg.Store.List(ctx, sequencePrefix)
	if err != nil {
		return eris.Wrap(err, "read the sequence records")
	}
	for _, kv := range kvs {
		stream, err := strconv.Atoi(strings.TrimPrefix(kv.Key, sequencePrefix))
		if err != nil || stream < 0 || stream >= len(recovery.Sequences) {
			return eris.Errorf("key %s does not end in the number of a commit stream from 0 to %d", kv.Key, len(recovery.Sequences)-1)
		}
		recovery.Sequences[stream] = kv.ModRevision
	}
	return nil
}

func (i *Instance) readRoster(ctx context.Context, recovery *cell.Recovery) error {
	roster, found, _, err := i.cfg.Store.Get(ctx, keyRoster)
	if err != nil || !found {
		return eris.Wrap(err, "read the roster")
	}
	return eris.Wrap(json.Unmarshal(roster.Value, &recovery.Roster), "decode the roster")
}

// readPastUse reads the record of past use. A record that cannot be decoded is ignored: scheduling does
// not depend on it, and the next commit replaces it.
func (i *Instance) readPastUse(ctx context.Context, recovery *cell.Recovery) error {
	kv, found, _, err := i.cfg.Store.Get(ctx, keyPastUse)
	if err != nil || !found {
		return eris.Wrap(err, "read the past use")
	}
	if len(kv.Value) > pastuse.MaxRecordBytes {
		i.cfg.Journal.Event("use_ignored", "why", fmt.Sprintf("the record has %d bytes, at most %d are allowed", len(kv.Value), pastuse.MaxRecordBytes))
		return nil
	}
	record, err := job.Decode[pastuse.Record](kv.Value)
	if err != nil {
		i.cfg.Journal.Event("use_ignored", "why", err)
		return nil
	}
	recovery.PastUse = record
	return nil
}

func (i *Instance) readJobs(ctx context.Context, recovery *cell.Recovery) error {
	var submissions []cell.Submission
	isCancelled := make(map[job.ID]bool)
	revision, err := store.Scan(ctx, i.cfg.Store, inboxPrefix, func(kv store.KeyValue) error {
		jobs, cancelled := i.decodeInbox([]store.KeyValue{kv})
		submissions = append(submissions, jobs...)
		for _, id := range cancelled {
			isCancelled[id] = true
		}
		return nil
	})
	if err != nil {
		return eris.Wrap(err, "list the jobs")
	}
	recovery.ReadRevision = revision
	// Progress is read after the jobs, so that none is missed for a job in the list.
	progressByJob := make(map[job.ID]*job.Progress)
	_, err = store.Scan(ctx, i.cfg.Store, progressPrefix, func(kv store.KeyValue) error {
		record, err := job.Decode[job.Progress](kv.Value)
		progressByJob[job.ID(strings.TrimPrefix(kv.Key, progressPrefix))] = record
		return eris.Wrapf(err, "decode the progress record under key %s", kv.Key)
	})
	if err != nil {
		return eris.Wrap(err, "list the progress of jobs")
	}
	for _, submission := range submissions {
		recovery.Jobs = append(recovery.Jobs, schedule.RecordedJob{Job: submission.Job, Progress: progressByJob[submission.Job.ID], Cancelled: isCancelled[submission.Job.ID]})
	}
	return nil
}

// decodeInbox decodes the records under inboxPrefix. A record that cannot be decoded is
// skipped, since no instance of this version wrote it.
func (i *Instance) decodeInbox(kvs []store.KeyValue) (jobs []cell.Submission, cancelled []job.ID) {
	for _, kv := range kvs {
		if id, ok := strings.CutPrefix(kv.Key, cancelPrefix); ok {
			cancelled = append(cancelled, job.ID(id))
			continue
		}
		record, err := job.DecodeJob(kv.Value)
		if err != nil {
			i.cfg.Journal.Event("job record cannot be decoded", "key", kv.Key, "error", err)
			continue
		}
		jobs = append(jobs, cell.Submission{Job: record, Revision: kv.ModRevision})
	}
	return jobs, cancelled
}
