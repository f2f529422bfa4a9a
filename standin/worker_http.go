package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// maxWorkerRequestBytes limits the body of a request to a worker.
const maxWorkerRequestBytes = 4 << 20

// WorkerIdleTimeout is the time after which a worker closes an idle connection.
const WorkerIdleTimeout = 5 * time.Second

// Handler returns the handler of the worker protocol and of the control endpoints: GET /ledger
// returns the oracle.WorkerLedger, and POST /faults applies WorkerFaults.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sync", func(rw http.ResponseWriter, r *http.Request) {
		req, ok := decodeJSON[worker.SyncRequest](rw, r)
		if !ok {
			return
		}
		reply, err := w.Sync(r.Context(), req)
		respond(rw, reply, err)
	})
	mux.HandleFunc("POST /v1/tasks", func(rw http.ResponseWriter, r *http.Request) {
		body, ok := readBody(rw, r)
		if !ok {
			return
		}
		req, err := worker.DecodeStart(body)
		if err != nil {
			rejectInvalid(rw, err)
			return
		}
		reply, err := w.Start(r.Context(), req)
		if err != nil {
			respond(rw, nil, err)
			return
		}
		frame, err := worker.EncodeStartReply(reply)
		writeFrame(rw, http.StatusOK, frame, err)
	})
	mux.HandleFunc("GET /v1/tasks/{task}/{attempt}", withAttempt(func(rw http.ResponseWriter, r *http.Request, a task.Attempt) {
		reply, err := w.Lookup(r.Context(), a)
		respond(rw, reply, err)
	}))
	mux.HandleFunc("GET /v1/tasks/{task}/{attempt}/result", withAttempt(w.serveResult))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/stop", withAttempt(func(rw http.ResponseWriter, r *http.Request, a task.Attempt) {
		req, ok := decodeJSON[worker.StopRequest](rw, r)
		if !ok {
			return
		}
		req.Attempt = a
		reply, err := w.Stop(r.Context(), req)
		respond(rw, reply, err)
	}))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/checkpoint", withAttempt(func(rw http.ResponseWriter, r *http.Request, a task.Attempt) {
		req, ok := decodeJSON[worker.CheckpointRequest](rw, r)
		if !ok {
			return
		}
		req.Attempt = a
		reply, err := w.Checkpoint(r.Context(), req)
		respond(rw, reply, err)
	}))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/throttle", withAttempt(func(rw http.ResponseWriter, r *http.Request, a task.Attempt) {
		req, ok := decodeJSON[worker.ThrottleRequest](rw, r)
		if !ok {
			return
		}
		req.Attempt = a
		reply, err := w.Throttle(r.Context(), req)
		respond(rw, reply, err)
	}))
	mux.HandleFunc("GET /ledger", func(rw http.ResponseWriter, r *http.Request) {
		ledger, err := w.Ledger()
		respond(rw, ledger, err)
	})
	mux.HandleFunc("POST /faults", func(rw http.ResponseWriter, r *http.Request) {
		req, ok := decodeJSON[WorkerFaults](rw, r)
		if !ok {
			return
		}
		respond(rw, struct{}{}, w.SetFaults(req))
	})
	return mux
}

func (w *Worker) serveResult(rw http.ResponseWriter, r *http.Request, a task.Attempt) {
	result, digest, err := w.Result(r.Context(), a)
	if err != nil {
		respond(rw, nil, err)
		return
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.Itoa(len(result)))
	rw.Header().Set(worker.DigestHeader, digest)
	rw.Write(result)
}

// withAttempt parses the attempt in the path and passes it to f.
func withAttempt(f func(http.ResponseWriter, *http.Request, task.Attempt)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseUint(r.PathValue("attempt"), 10, 32)
		if err != nil {
			rejectInvalid(rw, eris.Wrap(err, "parse attempt number"))
			return
		}
		f(rw, r, task.Attempt{Task: task.ID(r.PathValue("task")), Number: uint32(number)})
	}
}

// readBody reads the whole body before the call is executed, so that a truncated request has no
// effect.
func readBody(rw http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxWorkerRequestBytes))
	if err != nil {
		rejectInvalid(rw, err)
		return nil, false
	}
	return body, true
}

// decodeJSON decodes a request whose body is JSON without a payload.
func decodeJSON[T any](rw http.ResponseWriter, r *http.Request) (value T, ok bool) {
	body, ok := readBody(rw, r)
	if !ok {
		return value, false
	}
	if err := json.Unmarshal(body, &value); err != nil {
		rejectInvalid(rw, err)
		return value, false
	}
	return value, true
}

func rejectInvalid(rw http.ResponseWriter, err error) {
	writeReply(rw, http.StatusBadRequest, &worker.Rejection{Reason: worker.ReasonInvalid, Message: err.Error()})
}

// respond writes the reply, or the rejection in err. For any other error it closes the connection
// without a reply.
func respond(rw http.ResponseWriter, reply any, err error) {
	var rejection *worker.Rejection
	switch {
	case err == nil:
		writeReply(rw, http.StatusOK, reply)
	case errors.As(err, &rejection):
		writeReply(rw, http.StatusConflict, rejection)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeReply(rw http.ResponseWriter, status int, value any) {
	frame, err := worker.NewFrame(value, nil)
	writeFrame(rw, status, frame, err)
}

func writeFrame(rw http.ResponseWriter, status int, frame worker.Frame, err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.FormatInt(frame.Len(), 10))
	rw.WriteHeader(status)
	io.Copy(rw, frame.Reader())
}
