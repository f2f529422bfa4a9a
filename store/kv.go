package store

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, int64, error) {
	var reply wire.RangeReply
	operation := fmt.Sprintf("get %q", key)
	request := wire.RangeRequest{Key: []byte(key)}
	if err := c.call(ctx, operation, wire.PathRange, request, &reply); err != nil {
		return KeyValue{}, false, 0, err
	}
	if reply.Header == nil {
		return KeyValue{}, false, 0, missingHeaderError(operation)
	}
	if len(reply.KVs) == 0 {
		return KeyValue{}, false, reply.Header.Revision, nil
	}
	return fromWire(reply.KVs[0]), true, reply.Header.Revision, nil
}

// LatestRevision implements Store.
func (c *Client) LatestRevision(ctx context.Context, prefix string) (int64, error) {
	var reply wire.RangeReply
	operation := fmt.Sprintf("latest revision of %q", prefix)
	request := wire.RangeRequest{Key: wire.PrefixStart(prefix), RangeEnd: wire.PrefixEnd(prefix), Limit: 1,
		SortOrder: wire.SortDescending, SortTarget: wire.SortByRevision, KeysOnly: true}
	if err := c.call(ctx, operation, wire.PathRange, request, &reply); err != nil {
		return 0, err
	}
	if len(reply.KVs) == 0 {
		return 0, nil
	}
	return fromWire(reply.KVs[0]).ModRevision, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	var reply wire.RangeReply
	operation := fmt.Sprintf("list %q", prefix)
	request := wire.RangeRequest{Key: wire.PrefixStart(prefix), RangeEnd: wire.PrefixEnd(prefix)}
	if err := c.call(ctx, operation, wire.PathRange, request, &reply); err != nil {
		return nil, 0, err
	}
	if reply.Header == nil {
		return nil, 0, missingHeaderError(operation)
	}
	kvs := make([]KeyValue, 0, len(reply.KVs))
	for _, kv := range reply.KVs {
		kvs = append(kvs, fromWire(kv))
	}
	return kvs, reply.Header.Revision, nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var reply wire.TxnReply
	if err := c.call(ctx, "commit", wire.PathTxn, toWireTxn(txn), &reply); err != nil {
		return TxnResult{}, err
	}
	if reply.Header == nil {
		return TxnResult{}, missingHeaderError("commit")
	}
	result := TxnResult{Succeeded: reply.Succeeded, Revision: reply.Header.Revision}
	if reply.Succeeded {
		return result, nil
	}
	for _, response := range reply.Responses {
		if response.Range == nil {
			continue
		}
		for _, kv := range response.Range.KVs {
			result.Current = append(result.Current, fromWire(kv))
		}
	}
	return result, nil
}

// toWireTxn converts txn to the request of the gateway. If a compare fails, the transaction reads the
// compared keys.
func toWireTxn(txn Txn) wire.TxnRequest {
	var request wire.TxnRequest
	for _, compare := range txn.Compares {
		key := []byte(compare.Key)
		request.Compare = append(request.Compare, wire.Compare{
			Result:      wire.ResultEqual,
			Target:      wire.TargetMod,
			Key:         key,
			ModRevision: compare.ModRevision,
		})
		request.Failure = append(request.Failure, wire.Operation{Range: &wire.RangeRequest{Key: key}})
	}
	for _, put := range txn.Puts {
		request.Success = append(request.Success, wire.Operation{
			Put: &wire.PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: put.Lease},
		})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, wire.Operation{
			Delete: &wire.DeleteRangeRequest{Key: []byte(key)},
		})
	}
	return request
}

func fromWire(kv wire.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: kv.Lease}
}

// missingHeaderError returns the error for a reply without the header of the store, for example JSON
// from another server.
func missingHeaderError(operation string) error {
	return eris.Wrap(fmt.Errorf("%w: reply has no header", ErrUnclear), operation)
}
