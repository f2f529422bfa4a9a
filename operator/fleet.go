package operator

import (
	"regexp"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

func (s *Server) drain(c call) (httpjson.Response, error) {
	var request api.DrainRequest
	if err := s.ReadJSON(c.Request, &request); err != nil {
		return httpjson.Response{}, err
	}
	name := request.Instance + request.Worker
	if (request.Instance == "") == (request.Worker == "") || !document.IsValidName(name) {
		return httpjson.Response{}, errkind.New(errkind.InvalidRequest, "the request must name exactly one entry instance or worker").
			WithField("instance", "either instance or worker, "+document.NameRule)
	}
	status, err := s.backend.Drain(c.ctx, c.operator, request)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(status)
}

var unitPattern = regexp.MustCompile(`^(w/[a-z][a-z0-9-]{0,62}|h)/(0|[1-9][0-9]{0,4})$`)

func (s *Server) forceOwnership(c call) (httpjson.Response, error) {
	var request api.ForceOwnershipRequest
	if err := s.ReadJSON(c.Request, &request); err != nil {
		return httpjson.Response{}, err
	}
	if !unitPattern.MatchString(request.Unit) {
		return httpjson.Response{}, errkind.New(errkind.InvalidRequest, "%.80q is not a valid unit", request.Unit).
			WithField("unit", "w/<region>/<n> for a worker partition, h/<n> for a request shard")
	}
	if request.Reason == "" || len(request.Reason) > maxNoteBytes {
		return httpjson.Response{}, errkind.New(errkind.InvalidRequest, "the reason for the forced takeover, which is recorded, is empty or too long").
			WithField("reason", "1 to 200 bytes")
	}
	ownership, err := s.backend.ForceOwnership(c.ctx, c.operator, request)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(ownership)
}

func (s *Server) workers(c call) (httpjson.Response, error) {
	workers, err := s.backend.Workers(c.ctx)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(api.Workers{Workers: workers})
}

func (s *Server) shares(c call) (httpjson.Response, error) {
	shares, err := s.backend.Shares(c.ctx)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(api.Shares{Shares: shares})
}

func (s *Server) members(c call) (httpjson.Response, error) {
	members, err := s.backend.Members(c.ctx)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(api.Members{Members: members})
}
