package demo

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Timeouts of the demo.
const (
	totalTimeout   = 20 * time.Second
	joinTimeout    = 8 * time.Second // until every instance has joined as a member
	applyTimeout   = 5 * time.Second // until a document is in force everywhere
	requestTimeout = 8 * time.Second // of one request
	ledgerTimeout  = 2 * time.Second // until the workers' ledgers show the end of every run
	pollInterval   = 50 * time.Millisecond
)

// session is the state that all requests of the demo share.
type session struct {
	cluster *Cluster
	secrets map[task.Team]string

	mu      sync.Mutex
	answers []oracle.Answer
}

// Run starts a deployment, configures it through the operator API, sends the mix of
// requests and checks the outcome of each. It takes at most 20 s.
func Run(ctx context.Context, logger *log.Logger) (*Report, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	c, err := Start(logger)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s := &session{cluster: c, secrets: map[task.Team]string{}}
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	report := &Report{Rows: s.sendAll(ctx)}
	if err := s.checkTrace(ctx, report); err != nil {
		return nil, err
	}
	report.Took = time.Since(started)
	return report, nil
}

// sendAll sends the requests of the mix concurrently and returns their outcomes in
// the order of the mix.
func (s *session) sendAll(ctx context.Context) []Row {
	rows := make([]Row, len(mix))
	var group sync.WaitGroup
	for i, r := range mix {
		group.Go(func() {
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			observed, asPromised := r.send(requestCtx, s)
			rows[i] = Row{Request: r.name, Promised: r.promised, Observed: observed, Kept: asPromised}
		})
	}
	group.Wait()
	return rows
}

// checkTrace runs the oracle on the timelines and the ledgers. It repeats this until no
// run is in progress and there is no violation, or until ledgerTimeout has passed.
func (s *session) checkTrace(ctx context.Context, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	for {
		trace, err := s.cluster.Trace()
		if err != nil {
			return err
		}
		trace.Answers = s.answers
		running := 0
		report.Runs = 0
		for _, w := range trace.Workers {
			report.Runs += len(w.Runs)
			for _, r := range w.Runs {
				if r.End.IsZero() {
					running++
				}
			}
		}
		report.Events, report.Violations = len(trace.Events), oracle.Check(trace)
		if running == 0 && len(report.Violations) == 0 || ctx.Err() != nil {
			return nil
		}
		sleep(ctx, pollInterval)
	}
}

// operatorClient returns a client with the operator addresses of all instances.
func (s *session) operatorClient() *client.Client {
	var addresses []string
	for _, e := range s.cluster.Entries {
		addresses = append(addresses, e.OperatorAddress())
	}
	return client.New(client.Config{Addresses: addresses})
}

// configure waits until all instances are members, applies the documents and grants a
// key to each team.
func (s *session) configure(ctx context.Context) error {
	operator := s.operatorClient()
	defer operator.Close()
	if err := waitForMembers(ctx, operator, len(s.cluster.Entries)); err != nil {
		return err
	}
	documents, err := readDocuments()
	if err != nil {
		return err
	}
	for _, d := range documents {
		if d.service == "" {
			if err := s.configureTeam(ctx, operator, d); err != nil {
				return err
			}
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range documents {
		if d.service != "" {
			group.Go(func() error { return applyAndWait(ctx, operator, d) })
		}
	}
	return group.Wait()
}

// configureTeam applies the document of a team and grants it a key. It does not wait
// until they are in force, because the service documents are applied later and the wait
// for these covers both.
func (s *session) configureTeam(ctx context.Context, operator *client.Client, d documentFile) error {
	if _, err := operator.Apply(ctx, d.team, "", d.source, 0, 0); err != nil {
		return eris.Wrapf(err, "apply the document of team %s", d.team)
	}
	granted, err := operator.GrantKey(ctx, api.GrantRequest{Team: task.Team(d.team), Note: "demo"})
	if err != nil {
		return eris.Wrapf(err, "grant a key to team %s", d.team)
	}
	s.secrets[granted.Team] = granted.Secret
	return nil
}

// applyAndWait applies the document of a service and waits until it is in force on every
// instance.
func applyAndWait(ctx context.Context, operator *client.Client, d documentFile) error {
	applied, err := operator.Apply(ctx, d.team, d.service, d.source, 0, applyTimeout)
	if err != nil {
		return eris.Wrapf(err, "apply the document of %s/%s", d.team, d.service)
	}
	if !applied.InForce {
		return eris.Errorf("the document of %s/%s was not in force everywhere within %s", d.team, d.service, applyTimeout)
	}
	return nil
}

func waitForMembers(ctx context.Context, operator *client.Client, want int) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for ctx.Err() == nil {
		members, err := operator.Members(ctx)
		if err == nil && len(members.Members) == want {
			return nil
		}
		sleep(ctx, pollInterval)
	}
	return eris.Errorf("not all %d entry instances joined within %s", want, joinTimeout)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
