package entry

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Handler handles calls from other instances. Package daemon implements it on top of the control
// loop.
type Handler interface {
	// Handle returns the reply to a request from the instance named from, or an error if the
	// request cannot be answered before ctx ends.
	Handle(ctx context.Context, from string, request control.PeerRequest) (control.PeerReply, error)
	// Timeline returns the matching events, encoded as JSON.
	Timeline(ctx context.Context, taskID task.ID, team task.Team, since time.Time) ([]byte, error)
}

// minKeepaliveInterval is short enough to permit the keepalive pings of clients, sent every
// keepaliveTime.
const minKeepaliveInterval = keepaliveTime / 2

// NewServer returns a gRPC server that forwards calls to handler.
func NewServer(handler Handler) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	entrypb.RegisterEntryServer(server, &service{handler: handler})
	return server
}

type service struct {
	entrypb.UnimplementedEntryServer
	handler Handler
}

// handle forwards a request to the handler and checks that the reply has the expected type.
func handle[R control.PeerReply](ctx context.Context, s *service, from string, request control.PeerRequest) (R, error) {
	var zero R
	reply, err := s.handler.Handle(ctx, from, request)
	if err != nil {
		return zero, status.Error(codes.Unavailable, err.Error())
	}
	typed, ok := reply.(R)
	if !ok {
		return zero, status.Errorf(codes.Internal, "reply to %T has unexpected type %T", request, reply)
	}
	return typed, nil
}

// Submit handles calls from the front end of another instance.
func (s *service) Submit(ctx context.Context, r *entrypb.SubmitRequest) (*entrypb.JobReply, error) {
	reply, err := handle[control.JobReply](ctx, s, r.GetFrom(), control.SubmitRequest{Spec: decodeSpec(r.GetSpec()), Wait: r.GetWait().AsDuration()})
	return encodeJobReply(reply), err
}

// Query handles calls from the front end of another instance.
func (s *service) Query(ctx context.Context, r *entrypb.QueryRequest) (*entrypb.JobReply, error) {
	reply, err := handle[control.JobReply](ctx, s, r.GetFrom(), control.QueryRequest{Op: control.QueryOp(r.GetOp()), Job: decodeJob(r.GetJob()), Wait: r.GetWait().AsDuration()})
	return encodeJobReply(reply), err
}

// Place handles calls from the home instance of a job.
func (s *service) Place(ctx context.Context, r *entrypb.PlaceRequest) (*entrypb.PlaceReply, error) {
	reply, err := handle[control.PlaceReply](ctx, s, r.GetFrom(), decodePlace(r))
	return encodePlaceReply(reply), err
}

// Withdraw handles calls from the home instance of a job.
func (s *service) Withdraw(ctx context.Context, r *entrypb.WithdrawRequest) (*entrypb.WithdrawReply, error) {
	reply, err := handle[control.WithdrawReply](ctx, s, r.GetFrom(), control.WithdrawRequest{Attempts: decodeAttempts(r.GetAttempts()), Reason: errkind.Kind(r.GetReason()), OnlyQueued: r.GetOnlyWaiting()})
	return &entrypb.WithdrawReply{NotRun: encodeAttempts(reply.NotRun)}, err
}

// Lookup handles calls from the home instance of a job.
func (s *service) Lookup(ctx context.Context, r *entrypb.LookupRequest) (*entrypb.LookupReply, error) {
	reply, err := handle[control.LookupReply](ctx, s, r.GetFrom(), decodeLookup(r))
	return encodeLookupReply(reply), err
}

// Permit handles calls from the owner of a partition.
func (s *service) Permit(ctx context.Context, r *entrypb.PermitRequest) (*entrypb.PermitReply, error) {
	reply, err := handle[control.PermitReply](ctx, s, r.GetFrom(), control.PermitRequest{Attempt: decodeAttempt(r.GetAttempt()), Job: decodeJob(r.GetJob()),
		Index: int(r.GetIndex()), Worker: r.GetWorker(), BootID: r.GetBootId()})
	return &entrypb.PermitReply{Granted: reply.Granted}, err
}

// Report handles calls from the owner of a partition.
func (s *service) Report(ctx context.Context, r *entrypb.ReportRequest) (*entrypb.ReportReply, error) {
	reply, err := handle[control.ReportReply](ctx, s, r.GetFrom(), decodeReport(r))
	return &entrypb.ReportReply{Recorded: reply.Recorded}, err
}

// Promise handles calls from the owner of a unit during a store outage.
func (s *service) Promise(ctx context.Context, r *entrypb.PromiseRequest) (*entrypb.PromiseReply, error) {
	reply, err := handle[control.PromiseReply](ctx, s, r.GetFrom(), decodePromise(r))
	return &entrypb.PromiseReply{From: encodeSuccessor(reply.From), Granted: reply.Granted}, err
}

// Handover handles calls from the previous owner of a unit.
func (s *service) Handover(ctx context.Context, r *entrypb.HandoverNotice) (*entrypb.HandoverReply, error) {
	_, err := handle[control.HandoverReply](ctx, s, r.GetFrom(), decodeHandover(r))
	return &entrypb.HandoverReply{}, err
}

// Exchange handles calls from all other instances.
func (s *service) Exchange(ctx context.Context, r *entrypb.Digest) (*entrypb.Digest, error) {
	reply, err := handle[control.DigestMessage](ctx, s, r.GetInstance(), decodeDigest(r))
	return encodeDigest(reply), err
}

// FetchConfig handles calls from an instance that started while the store is down.
func (s *service) FetchConfig(ctx context.Context, r *entrypb.FetchConfigRequest) (*entrypb.FetchConfigReply, error) {
	reply, err := handle[control.FetchConfigReply](ctx, s, r.GetFrom(), control.FetchConfigRequest{AfterRevision: r.GetAfter()})
	return encodeConfig(reply), err
}

// Timeline handles calls from the instance that received an operator's query.
func (s *service) Timeline(ctx context.Context, r *entrypb.TimelineRequest) (*entrypb.TimelineReply, error) {
	events, err := s.handler.Timeline(ctx, task.ID(r.GetTask()), task.Team(r.GetTeam()), decodeTime(r.GetSince()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &entrypb.TimelineReply{Events: events}, nil
}

// Overview handles calls from the instance that received an operator's query.
func (s *service) Overview(ctx context.Context, r *entrypb.OverviewRequest) (*entrypb.OverviewReply, error) {
	reply, err := handle[control.Overview](ctx, s, r.GetFrom(), control.OverviewRequest{})
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(reply)
	return &entrypb.OverviewReply{Overview: encoded}, err
}
