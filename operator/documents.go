package operator

import (
	"strconv"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func (s *Server) listDocuments(c call) (httpjson.Response, error) {
	stored, err := s.backend.List(c.ctx)
	if err != nil {
		return httpjson.Response{}, err
	}
	response := api.Documents{Documents: make([]api.Document, len(stored))}
	for i, d := range stored {
		response.Documents[i] = toAPIDocument(d)
		response.Documents[i].Source = ""
	}
	return httpjson.JSON(response)
}

func (s *Server) getDocument(c call) (httpjson.Response, error) {
	ref, err := parseRef(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	stored, err := s.backend.Get(c.ctx, ref)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(toAPIDocument(stored))
}

func (s *Server) applyDocument(c call) (httpjson.Response, error) {
	expected, err := parseExpectedRevision(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	ref, source, _, err := s.readDocument(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	stored, err := s.backend.Apply(c.ctx, DocumentChange{Ref: ref, Source: source, Operator: c.operator, ExpectedRevision: expected, Wait: c.wait})
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(toAPIDocument(stored))
}

// diffDocument compares the document in the body with the stored one. If none is
// stored, it compares with an empty document.
func (s *Server) diffDocument(c call) (httpjson.Response, error) {
	ref, _, candidate, err := s.readDocument(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	stored, err := s.backend.Get(c.ctx, ref)
	if err != nil && !isNotFound(err) {
		return httpjson.Response{}, err
	}
	current, _ := document.Parse([]byte(stored.Record.Source))
	return httpjson.JSON(api.Diff{Revision: stored.Revision, Changes: toAPIChanges(document.Diff(current, candidate))})
}

func isNotFound(err error) bool {
	kind := errkind.From(err).Kind
	return kind == errkind.UnknownTeam || kind == errkind.UnknownService
}

// readDocument reads and validates the document in the body. Its team and service
// must match those in the path.
func (s *Server) readDocument(c call) (DocumentRef, string, document.Document, error) {
	ref, err := parseRef(c)
	if err != nil {
		return ref, "", document.Document{}, err
	}
	body, err := s.ReadBody(c.Request)
	if err != nil {
		return ref, "", document.Document{}, err
	}
	parsed, faults := document.Parse(body, s.cfg.Regions...)
	if len(faults) > 0 {
		return ref, "", parsed, &invalidDocumentError{faults}
	}
	if parsed.Team != ref.Team {
		return ref, "", parsed, errkind.New(errkind.InvalidRequest, "the document belongs to team %s", parsed.Team).
			WithField("team", string(ref.Team)+", as in the path")
	}
	if parsed.Service != ref.Service {
		return ref, "", parsed, errkind.New(errkind.InvalidRequest, "the document belongs to service %q", parsed.Service).
			WithField("service", strconv.Quote(string(ref.Service))+", as in the path")
	}
	return ref, string(body), parsed, nil
}

func parseRef(c call) (DocumentRef, error) {
	ref := DocumentRef{Team: task.Team(c.PathValue("team")), Service: task.Service(c.PathValue("service"))}
	if !document.IsValidName(string(ref.Team)) {
		return ref, errkind.New(errkind.UnknownTeam, "there is no team %.80q", ref.Team).WithField("team", document.NameRule)
	}
	if ref.Service != "" && !document.IsValidName(string(ref.Service)) {
		return ref, errkind.New(errkind.UnknownService, "there is no service %.80q", ref.Service).WithField("service", document.NameRule)
	}
	return ref, nil
}

// parseExpectedRevision returns the expected revision for optimistic concurrency
// control. It is required, so that a change cannot overwrite a revision that its
// operator has not read.
func parseExpectedRevision(c call) (int64, error) {
	text := c.URL.Query().Get("expect")
	expected, err := strconv.ParseInt(text, 10, 64)
	if err != nil || expected < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "invalid expected revision %.40q", text).
			WithField("expect", "the revision that get shows, 0 for a new document")
	}
	return expected, nil
}

func toAPIDocument(stored StoredDocument) api.Document {
	return api.Document{
		Team:      stored.Ref.Team,
		Service:   stored.Ref.Service,
		Revision:  stored.Revision,
		ChangedBy: stored.Record.ChangedBy,
		ChangedAt: stored.Record.ChangedAt,
		Source:    stored.Record.Source,
		InForce:   stored.InForce,
	}
}
