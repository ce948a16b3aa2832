package fleet

import (
	"context"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// cborHandler wraps f with decoding of the parameters and encoding of the result of a raw call.
// Requests and ticket calls are most of the leader's calls; encoding them as JSON took a fifth of
// its CPU time.
func cborHandler[P, R any](f func(context.Context, model.Instance, P) (R, error)) peer.RawCallHandler {
	return func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error) {
		var p P
		if err := cbor.Unmarshal(payload, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "decode CBOR parameters from %s: %v", from, err)
		}
		r, err := f(ctx, from, p)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(r)
	}
}

// callCBOR makes a raw call to a method that is served by cborHandler.
func callCBOR[P, R any](ctx context.Context, n *peer.Transport, to model.Instance, method string, params P) (R, error) {
	var r R
	payload, err := cbor.Marshal(params)
	if err != nil {
		return r, fault.Wrap(fault.ErrInvalid, "call %s: encode parameters: %v", method, err)
	}
	data, err := n.CallRaw(ctx, to, method, payload)
	if err != nil {
		return r, err
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(fault.ErrUnknown, "call %s on %s: decode result: %v", method, to, err)
	}
	return r, nil
}

// jsonHandler wraps f with decoding of the JSON parameters of a call.
func jsonHandler[P, R any](f func(context.Context, model.Instance, P) (R, error)) peer.Handler {
	return func(ctx context.Context, from model.Instance, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "decode JSON parameters from %s: %v", from, err)
		}
		return f(ctx, from, p)
	}
}
