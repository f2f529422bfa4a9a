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

// Bounds of the demo.
const (
	totalBound  = 20 * time.Second
	joinBound   = 8 * time.Second // until every instance is a member
	applyBound  = 5 * time.Second // until a document is in force everywhere
	answerBound = 8 * time.Second // of one request
	settleBound = 2 * time.Second // until the workers' ledgers show the end of every run
	pollEvery   = 50 * time.Millisecond
)

// session is what the requests of the demo share.
type session struct {
	cluster *Cluster
	secrets map[task.Team]string

	mu      sync.Mutex
	answers []oracle.Answer
}

// Run starts a deployment, has an operator configure it, sends the mix of
// requests and checks what became of each. It takes at most 20 s.
func Run(ctx context.Context, logger *log.Logger) (*Report, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, totalBound)
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
	if err := s.judge(ctx, report); err != nil {
		return nil, err
	}
	report.Took = time.Since(started)
	return report, nil
}

// sendAll sends the requests of the mix at once and returns their outcomes in
// the order of the mix.
func (s *session) sendAll(ctx context.Context) []Row {
	rows := make([]Row, len(mix))
	var group sync.WaitGroup
	for i, r := range mix {
		group.Go(func() {
			requestCtx, cancel := context.WithTimeout(ctx, answerBound)
			defer cancel()
			observed, kept := r.send(requestCtx, s)
			rows[i] = Row{Request: r.name, Promised: r.promised, Observed: observed, Kept: kept}
		})
	}
	group.Wait()
	return rows
}

// judge lets the oracle check the time lines and the ledgers once no run is
// going on.
func (s *session) judge(ctx context.Context, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
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
		pause(ctx, pollEvery)
	}
}

// operator returns a client of the operators' interface of every instance.
func (s *session) operator() *client.Client {
	var addresses []string
	for _, e := range s.cluster.Entries {
		addresses = append(addresses, e.OperatorAddress())
	}
	return client.New(client.Config{Addresses: addresses})
}

// configure does what an operator would: it waits for the instances, applies
// the documents and grants a key to each team.
func (s *session) configure(ctx context.Context) error {
	operator := s.operator()
	defer operator.Close()
	if err := awaitMembers(ctx, operator, len(s.cluster.Entries)); err != nil {
		return err
	}
	parsed, err := readDocuments()
	if err != nil {
		return err
	}
	for _, d := range parsed {
		if d.service == "" {
			if err := s.addTeam(ctx, operator, d); err != nil {
				return err
			}
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range parsed {
		if d.service != "" {
			group.Go(func() error { return apply(ctx, operator, d) })
		}
	}
	return group.Wait()
}

// addTeam applies the document of a team and grants it a key. It does not wait:
// the wait for the documents of services, which come later, covers both.
func (s *session) addTeam(ctx context.Context, operator *client.Client, d sourceFile) error {
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

func apply(ctx context.Context, operator *client.Client, d sourceFile) error {
	applied, err := operator.Apply(ctx, d.team, d.service, d.source, 0, applyBound)
	if err != nil {
		return eris.Wrapf(err, "apply the document of %s/%s", d.team, d.service)
	}
	if !applied.InForce {
		return eris.Errorf("the document of %s/%s was not in force everywhere in %s", d.team, d.service, applyBound)
	}
	return nil
}

func awaitMembers(ctx context.Context, operator *client.Client, want int) error {
	ctx, cancel := context.WithTimeout(ctx, joinBound)
	defer cancel()
	for ctx.Err() == nil {
		members, err := operator.Members(ctx)
		if err == nil && len(members.Members) == want {
			return nil
		}
		pause(ctx, pollEvery)
	}
	return eris.Errorf("not all %d entry instances joined in %s", want, joinBound)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
