package worker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// DigestHeader is the header with the SHA-256 digest of a result in hex.
const DigestHeader = "Result-Sha256"

// Result implements API. The bytes are written to dst as they arrive, so dst
// may hold a partial result if an error is returned.
func (c *Client) Result(ctx context.Context, address Address, req ResultRequest, dst io.Writer) error {
	call := workerCall{
		operation: fmt.Sprintf("result of %s from %s", req.Attempt, address),
		method:    http.MethodGet, address: address, path: attemptPath(req.Attempt) + "/result",
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ResultTimeout)
	defer cancel()
	resp, err := c.send(ctx, c.taskTransport, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := readLimited(resp, c.config.MaxReplyBytes)
		return statusError(call.operation, resp.StatusCode, body)
	}
	if req.Digest == "" {
		req.Bytes, req.Digest = resp.ContentLength, resp.Header.Get(DigestHeader)
	}
	if req.Bytes < 0 {
		return WrapUnclear(call.operation, eris.Wrap(ErrIncomplete, "the reply has no Content-Length header"))
	}
	if err := CopyResult(dst, resp.Body, req, c.config.MaxResultBytes); err != nil {
		return WrapUnclear(call.operation, err)
	}
	return nil
}

// CopyResult copies a result from src to dst and checks it against the length
// and digest in want, and the length against limit.
func CopyResult(dst io.Writer, src io.Reader, want ResultRequest, limit int64) error {
	if want.Bytes > limit {
		return eris.Wrapf(ErrTooLarge, "result of %d bytes exceeds the limit of %d bytes", want.Bytes, limit)
	}
	hash := sha256.New()
	n, err := io.Copy(io.MultiWriter(dst, hash), io.LimitReader(src, want.Bytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return eris.Wrapf(ErrIncomplete, "result ends after %d of %d bytes", n, want.Bytes)
	}
	if err != nil {
		return eris.Wrap(err, "copy result")
	}
	if n != want.Bytes {
		return eris.Wrapf(ErrIncomplete, "result has %d bytes, expected %d", n, want.Bytes)
	}
	if got := hex.EncodeToString(hash.Sum(nil)); got != want.Digest {
		return eris.Wrapf(ErrIncomplete, "result has digest %s, expected %s", got, want.Digest)
	}
	return nil
}
