package httpjson

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHandlerOutlastsReadTimeout guards against ReadTimeout ending a call whose
// handler runs longer than that, or making its connection unusable for the next
// call.
func TestHandlerOutlastsReadTimeout(t *testing.T) {
	limits := Limits{MaxRequestBytes: 1000, MaxHeaderBytes: 1000, ReadHeaderTimeout: 100 * time.Millisecond,
		ReadTimeout: 200 * time.Millisecond, WriteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	s := NewServer(limits)
	s.Handle("/wait", Methods{"POST": func(r *http.Request) (Response, error) {
		if _, err := s.ReadBody(r); err != nil {
			return Response{}, err
		}
		select {
		case <-time.After(2 * limits.ReadTimeout):
			return JSON("waited")
		case <-r.Context().Done():
			return Response{}, r.Context().Err()
		}
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }() // ends with Abort
	defer s.Abort()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for call := range 2 {
		response, err := client.Post("http://"+listener.Addr().String()+"/wait", "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatalf("call %d: %v", call, err)
		}
		if response.StatusCode != http.StatusOK {
			t.Errorf("response to call %d has status %s", call, response.Status)
		}
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
	}
}
