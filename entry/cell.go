package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// CellHandler handles calls between the instances of a cell.
type CellHandler interface {
	// ObserveInstance records the address at which an instance accepts advice calls and
	// relayed orders.
	ObserveInstance(p Peer)
	// HandleRequest handles a request type of package cell, such as cell.ViewRequest or
	// cell.Submit.
	HandleRequest(ctx context.Context, request any) (cell.Reply, error)
	// CallAdviceService calls the advice service on behalf of the owner.
	CallAdviceService(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
	// ForwardOrder sends an order of the owner to a worker. It leaves the ID of the outcome unset.
	ForwardOrder(ctx context.Context, o RelayOrder) RelayOutcome
}

// Peer describes an instance to other instances.
type Peer struct {
	Instance      string
	Address       string
	FailureDomain string
}

// NewCellServer returns a gRPC server that forwards calls to handler.
func NewCellServer(handler CellHandler) *grpc.Server {
	server := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	entrypb.RegisterCellServer(server, &cellService{handler: handler})
	return server
}

type cellService struct {
	entrypb.UnimplementedCellServer
	handler CellHandler
}

// FollowOwner implements entrypb.CellServer.
func (s *cellService) FollowOwner(ctx context.Context, r *entrypb.FollowRequest) (*entrypb.FollowReply, error) {
	s.handler.ObserveInstance(Peer{Instance: r.GetInstance(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain()})
	request := cell.ViewRequest{Instance: r.GetInstance(), Epoch: r.GetEpoch(), Since: r.GetSince(), Submitted: make(map[string]int), OwnerTime: milliseconds(r.GetOwnerTimeMs()), JobMemory: r.GetJobMemoryBytes()}
	for team, n := range r.GetSubmitted() {
		request.Submitted[team] = int(n)
	}
	reply, err := s.handler.HandleRequest(ctx, request)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if reply.View == nil {
		return &entrypb.FollowReply{NotOwner: true}, nil
	}
	return encodeView(reply.View), nil
}

func encodeView(v *schedule.View) *entrypb.FollowReply {
	out := &entrypb.FollowReply{Epoch: v.Epoch, Sequence: v.Sequence, Full: v.Full, Admit: v.AdmittedShare, PollAfterMs: v.PollAfter.Milliseconds(), OwnerTimeMs: v.OwnerTime.Milliseconds(), Waiting: make(map[string]int64)}
	for _, c := range v.Changes {
		out.Changes = append(out.Changes, &entrypb.JobStatus{Job: string(c.Job), State: string(c.State), Queue: c.Queue, Team: c.Team})
	}
	for queue, n := range v.PendingJobs {
		out.Waiting[queue] = int64(n)
	}
	for _, p := range v.Restricted {
		out.Restricted = append(out.Restricted, &entrypb.RestrictedPair{Queue: p.Queue, Team: p.Team})
	}
	if a := v.Allowance; a.Limited {
		out.Allowance = &entrypb.Allowance{Bytes: a.Bytes, Teams: a.Teams, Queues: a.Queues}
	}
	return out
}

func decodeView(r *entrypb.FollowReply) *schedule.View {
	v := &schedule.View{Epoch: r.GetEpoch(), Sequence: r.GetSequence(), Full: r.GetFull(), AdmittedShare: r.GetAdmit(), PollAfter: milliseconds(r.GetPollAfterMs()), OwnerTime: milliseconds(r.GetOwnerTimeMs()), PendingJobs: make(map[string]int)}
	for _, c := range r.GetChanges() {
		v.Changes = append(v.Changes, schedule.Status{Job: job.ID(c.GetJob()), State: job.State(c.GetState()), Queue: c.GetQueue(), Team: c.GetTeam()})
	}
	for queue, n := range r.GetWaiting() {
		v.PendingJobs[queue] = int(n)
	}
	for _, p := range r.GetRestricted() {
		v.Restricted = append(v.Restricted, schedule.Pair{Queue: p.GetQueue(), Team: p.GetTeam()})
	}
	if a := r.GetAllowance(); a != nil {
		v.Allowance = holding.Allowance{Limited: true, Bytes: a.GetBytes(), Teams: a.GetTeams(), Queues: a.GetQueues()}
	}
	return v
}

// SubmitJob implements entrypb.CellServer.
func (s *cellService) SubmitJob(ctx context.Context, r *entrypb.SubmitJobRequest) (*entrypb.CellReply, error) {
	record, err := job.DecodeJob(r.GetRecord())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.handleRequest(ctx, cell.Submit{Submission: cell.Submission{Job: record, Revision: r.GetRevision()}})
}

// AdmitJob implements entrypb.CellServer.
func (s *cellService) AdmitJob(ctx context.Context, r *entrypb.AdmitJobRequest) (*entrypb.AdmitJobReply, error) {
	record, err := job.DecodeJob(r.GetRecord())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.handler.HandleRequest(ctx, cell.AdmissionQuery{Job: record, SpecBytes: int(r.GetSpecBytes())})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encodeAdmission(reply), nil
}

func encodeAdmission(reply cell.Reply) *entrypb.AdmitJobReply {
	a := reply.Admission
	return &entrypb.AdmitJobReply{NotOwner: reply.NotOwner, Rejected: a.Rejected, Returned: a.Returned, Cause: a.Cause, RetryAfterMs: a.RetryAfter.Milliseconds(), KnowsEnded: a.KnowsEnded}
}

func decodeAdmission(r *entrypb.AdmitJobReply) cell.Reply {
	return cell.Reply{NotOwner: r.GetNotOwner(), Found: !r.GetNotOwner(), Admission: schedule.Admission{
		Rejected: r.GetRejected(), Returned: r.GetReturned(), Cause: r.GetCause(), RetryAfter: milliseconds(r.GetRetryAfterMs()), KnowsEnded: r.GetKnowsEnded(),
	}}
}

// JobState implements entrypb.CellServer.
func (s *cellService) JobState(ctx context.Context, r *entrypb.JobRequest) (*entrypb.CellReply, error) {
	return s.handleRequest(ctx, cell.JobStateQuery{Job: job.ID(r.GetJob()), Instance: r.GetInstance()})
}

// CancelJob implements entrypb.CellServer.
func (s *cellService) CancelJob(ctx context.Context, r *entrypb.JobRequest) (*entrypb.CellReply, error) {
	return s.handleRequest(ctx, cell.Cancel{Job: job.ID(r.GetJob()), Queue: r.GetQueue(), Team: r.GetTeam()})
}

func (s *cellService) handleRequest(ctx context.Context, request any) (*entrypb.CellReply, error) {
	reply, err := s.handler.HandleRequest(ctx, request)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &entrypb.CellReply{
		NotOwner: reply.NotOwner, Known: reply.Found, State: string(reply.State),
		Team: reply.Team, Queue: reply.Queue,
	}, nil
}

// AskAdvice implements entrypb.CellServer.
func (s *cellService) AskAdvice(ctx context.Context, r *entrypb.AskAdviceRequest) (*entrypb.AskAdviceReply, error) {
	tickets, valid, err := s.handler.CallAdviceService(ctx, r.GetStep(), r.GetWorkers())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &entrypb.AskAdviceReply{ValidMs: valid.Milliseconds()}
	for worker, text := range tickets {
		reply.Tickets = append(reply.Tickets, &entrypb.Ticket{Worker: worker, Text: text})
	}
	return reply, nil
}

// callCell makes one call of the Cell service on the shared connection to an instance, and replaces
// the connection if it appears dead.
func callCell[Request, Reply any](ctx context.Context, c *Client, address string, request Request,
	call func(entrypb.CellClient, context.Context, Request, ...grpc.CallOption) (Reply, error)) (Reply, error) {
	peerConn, err := c.connect(membership.Member{Address: address})
	if err != nil {
		var zero Reply
		return zero, err
	}
	reply, err := call(entrypb.NewCellClient(peerConn.grpcConn), ctx, request)
	c.recordResult(address, peerConn, err)
	return reply, err
}

// FollowOwner announces this instance to the owner at the given address and returns the owner's
// view with the changes since r.Since. It returns a nil view if the instance there is not the
// owner.
func (c *Client) FollowOwner(ctx context.Context, address string, self Peer, r cell.ViewRequest) (*schedule.View, error) {
	request := &entrypb.FollowRequest{
		Instance: r.Instance, Address: self.Address, FailureDomain: self.FailureDomain,
		Epoch: r.Epoch, Since: r.Since, Submitted: make(map[string]int64), OwnerTimeMs: r.OwnerTime.Milliseconds(), JobMemoryBytes: r.JobMemory,
	}
	for team, n := range r.Submitted {
		request.Submitted[team] = int64(n)
	}
	reply, err := callCell(ctx, c, address, request, entrypb.CellClient.FollowOwner)
	if err != nil || reply.GetNotOwner() {
		return nil, err
	}
	return decodeView(reply), nil
}

// SendJobRequest sends a cell.Submit, cell.AdmissionQuery, cell.JobStateQuery or cell.Cancel request to
// the instance at the given address.
func (c *Client) SendJobRequest(ctx context.Context, address string, request any) (cell.Reply, error) {
	var reply *entrypb.CellReply
	var err error
	switch r := request.(type) {
	case cell.Submit:
		var record []byte
		if record, err = job.Encode(r.Job); err != nil {
			return cell.Reply{}, err
		}
		reply, err = callCell(ctx, c, address, &entrypb.SubmitJobRequest{Record: record, Revision: r.Revision}, entrypb.CellClient.SubmitJob)
	case cell.AdmissionQuery:
		record, err := job.Encode(r.Job)
		if err != nil {
			return cell.Reply{}, err
		}
		reply, err := callCell(ctx, c, address, &entrypb.AdmitJobRequest{Record: record, SpecBytes: int64(r.SpecBytes)}, entrypb.CellClient.AdmitJob)
		if err != nil {
			return cell.Reply{}, err
		}
		return decodeAdmission(reply), nil
	case cell.JobStateQuery:
		reply, err = callCell(ctx, c, address, &entrypb.JobRequest{Job: string(r.Job), Instance: r.Instance}, entrypb.CellClient.JobState)
	case cell.Cancel:
		reply, err = callCell(ctx, c, address, &entrypb.JobRequest{Job: string(r.Job), Queue: r.Queue, Team: r.Team}, entrypb.CellClient.CancelJob)
	}
	if err != nil {
		return cell.Reply{}, err
	}
	return cell.Reply{
		NotOwner: reply.GetNotOwner(), Found: reply.GetKnown(), State: job.State(reply.GetState()),
		Team: reply.GetTeam(), Queue: reply.GetQueue(),
	}, nil
}

// RequestAdvice has the instance at the given address call the advice service.
func (c *Client) RequestAdvice(ctx context.Context, address, step string, workers []string) (map[string]string, time.Duration, error) {
	reply, err := callCell(ctx, c, address, &entrypb.AskAdviceRequest{Step: step, Workers: workers}, entrypb.CellClient.AskAdvice)
	if err != nil {
		return nil, 0, err
	}
	tickets := make(map[string]string, len(reply.GetTickets()))
	for _, t := range reply.GetTickets() {
		tickets[t.GetWorker()] = t.GetText()
	}
	return tickets, time.Duration(reply.GetValidMs()) * time.Millisecond, nil
}
