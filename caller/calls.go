package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/listen"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func (s *Server) submit(r *http.Request) (httpjson.Response, error) {
	secret, err := httpjson.BearerSecret(r)
	if err != nil {
		return httpjson.Response{}, err
	}
	wait, err := httpjson.ParseWait(r, s.cfg.MaxWait)
	if err != nil {
		return httpjson.Response{}, err
	}
	body, err := s.ReadBody(r)
	if err != nil {
		return httpjson.Response{}, err
	}
	request, err := decodeSubmit(body)
	if err != nil {
		return httpjson.Response{}, err
	}
	listen.Keep(r.Context(), int64(len(request.Payload)))
	deadline, err := s.callDeadline(r, request.Deadline)
	if err != nil {
		return httpjson.Response{}, err
	}
	spec := newSpec(r, request)
	if err := checkNames(spec.Team, spec.Service); err != nil {
		return httpjson.Response{}, err
	}
	spec.SubmittedAt = s.now()
	ctx, cancel, wait := s.withCallDeadline(r.Context(), deadline, wait)
	defer cancel()
	status, err := s.backend.Submit(ctx, secret, spec, wait)
	if err != nil {
		return httpjson.Response{}, err
	}
	return s.jobResponse(JobID{spec.Team, spec.Service, spec.IdempotencyKey}, status)
}

func (s *Server) status(r *http.Request) (httpjson.Response, error) {
	return s.handleJob(r, func(c jobCall) (JobStatus, error) {
		return s.backend.Status(c.ctx, c.secret, c.id)
	})
}

func (s *Server) wait(r *http.Request) (httpjson.Response, error) {
	return s.handleJob(r, func(c jobCall) (JobStatus, error) {
		return s.backend.Wait(c.ctx, c.secret, c.id, c.wait)
	})
}

func (s *Server) cancel(r *http.Request) (httpjson.Response, error) {
	return s.handleJob(r, func(c jobCall) (JobStatus, error) {
		return s.backend.Cancel(c.ctx, c.secret, c.id)
	})
}

func (s *Server) handleJob(r *http.Request, callBackend func(jobCall) (JobStatus, error)) (httpjson.Response, error) {
	call, cancel, err := s.parseJobCall(r)
	if err != nil {
		return httpjson.Response{}, err
	}
	defer cancel()
	status, err := callBackend(call)
	if err != nil {
		return httpjson.Response{}, err
	}
	return s.jobResponse(call.id, status)
}

// result returns the raw bytes of the result as the response body, so that they
// need no JSON encoding.
func (s *Server) result(r *http.Request) (httpjson.Response, error) {
	call, cancel, err := s.parseJobCall(r)
	if err != nil {
		return httpjson.Response{}, err
	}
	defer cancel()
	index, err := parseIndex(r)
	if err != nil {
		return httpjson.Response{}, err
	}
	outcome, err := s.backend.Result(call.ctx, call.secret, call.id, index)
	if err != nil {
		return httpjson.Response{}, err
	}
	if err := s.checkResult(outcome); err != nil {
		return httpjson.Response{}, err
	}
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	header.Set(api.HeaderTask, outcome.Attempt.String())
	return httpjson.Response{Status: http.StatusOK, Header: header, Body: outcome.Result}, nil
}

// jobResponse includes the result if the job has a single task, so that callers of
// interactive work, who wait only for the result, need no second call.
func (s *Server) jobResponse(id JobID, status JobStatus) (httpjson.Response, error) {
	job := api.Job{ID: id.String(), State: status.State, Repeated: status.Repeated, Tasks: []api.Task{}}
	for _, taskStatus := range status.Tasks {
		apiTask := api.Task{Index: taskStatus.Index, ID: taskStatus.ID, State: taskStatus.State, Attempt: taskStatus.Attempt}
		if outcome := taskStatus.Outcome; outcome != nil {
			if err := s.checkResult(*outcome); err != nil {
				return httpjson.Response{}, err
			}
			apiTask.Attempt, apiTask.ExitCode, apiTask.Reason = outcome.Attempt.Number, outcome.ExitCode, outcome.Reason
			apiTask.Worker, apiTask.RunTime, apiTask.Digest = outcome.Worker, api.Duration(outcome.RunTime), outcome.Digest
			apiTask.ResultBytes = len(outcome.Result)
			if len(status.Tasks) == 1 {
				apiTask.Result = outcome.Result
			}
		}
		job.Tasks = append(job.Tasks, apiTask)
	}
	return httpjson.JSON(job)
}

// checkResult rejects a result that exceeds the size limit or does not match the
// digest reported by the worker.
func (s *Server) checkResult(outcome task.Outcome) error {
	if int64(len(outcome.Result)) > s.cfg.MaxResultBytes {
		return errkind.New(errkind.ResultTooLarge, "the result of %d bytes is too large", len(outcome.Result)).
			WithField("result", strconv.FormatInt(s.cfg.MaxResultBytes, 10)+" bytes")
	}
	if len(outcome.Result) == 0 || outcome.Digest == "" {
		return nil
	}
	if sum := sha256.Sum256(outcome.Result); hex.EncodeToString(sum[:]) != outcome.Digest {
		return errkind.New(errkind.ResultIncomplete, "the result of %s does not match the digest reported by the worker", outcome.Attempt).
			WithField("result", fmt.Sprintf("SHA-256 %s", outcome.Digest))
	}
	return nil
}
