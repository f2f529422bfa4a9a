package operator

import (
	"strconv"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxNoteBytes limits the note of a key and the reason of a forced takeover.
const maxNoteBytes = 200

func (s *Server) grantKey(c call) (httpjson.Response, error) {
	var request api.GrantRequest
	if err := s.ReadJSON(c.Request, &request); err != nil {
		return httpjson.Response{}, err
	}
	if err := checkGrant(request); err != nil {
		return httpjson.Response{}, err
	}
	granted, err := s.backend.GrantKey(c.ctx, c.operator, request)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(granted)
}

func checkGrant(request api.GrantRequest) error {
	switch {
	case !document.IsValidName(string(request.Team)):
		return errkind.New(errkind.InvalidRequest, "%.80q is not a valid name", request.Team).WithField("team", document.NameRule)
	case request.Role != "" && !document.IsValidName(request.Role):
		return errkind.New(errkind.InvalidRequest, "%.80q is not a valid name", request.Role).WithField("role", document.NameRule)
	case len(request.Note) > maxNoteBytes:
		return errkind.New(errkind.InvalidRequest, "the note of %d bytes is too long", len(request.Note)).
			WithField("note", "at most "+strconv.Itoa(maxNoteBytes)+" bytes")
	}
	return nil
}

func (s *Server) withdrawKey(c call) (httpjson.Response, error) {
	ref, err := parseRef(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	key, err := s.backend.WithdrawKey(c.ctx, c.operator, ref.Team, c.PathValue("id"))
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(key)
}

func (s *Server) listKeys(c call) (httpjson.Response, error) {
	team := c.URL.Query().Get("team")
	if team != "" && !document.IsValidName(team) {
		return httpjson.Response{}, errkind.New(errkind.UnknownTeam, "there is no team %.80q", team).WithField("team", document.NameRule)
	}
	keys, err := s.backend.Keys(c.ctx, task.Team(team))
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(api.Keys{Keys: keys})
}
