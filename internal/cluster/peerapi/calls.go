// Package peerapi carries calls between the processes of the system: each procedure has a path, a message that asks and one that
// answers (package wire), over connect-go with a codec of generated JSON. Serve answers a procedure, Call and CallWithStallTimeout
// ask a peer, and an error tells by NeverSent whether the call certainly did not reach it.
package peerapi

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/platform/metrics"
)

// Prefix is the path below which peers call each other.
const Prefix = "/gannetline.v1.Sibling/"

// The paths of the calls between processes; their messages bear the same names.
const (
	ProcedurePromise  = Prefix + "Promise"
	ProcedureAppend   = Prefix + "Append"
	ProcedureFetch    = Prefix + "Fetch"
	ProcedureMembers  = Prefix + "Members"
	ProcedurePlan     = Prefix + "Plan"
	ProcedureIdentify = Prefix + "Identify"
	ProcedureClient   = Prefix + "Client"
	ProcedureExchange = Prefix + "Exchange"
	ProcedureBeliefs  = Prefix + "Beliefs"
	ProcedureTenants  = Prefix + "Tenants"
	// ProcedureCoordination asks for locks, numbers and cells of the keys that are led there.
	ProcedureCoordination = Prefix + "Coordination"
	// ProcedureEvacuations asks which zones are to be emptied as far as the process knows, and what still runs there.
	ProcedureEvacuations = Prefix + "Evacuations"
	// ProcedureExecutors asks for the list of executors.
	ProcedureExecutors = Prefix + "Executors"
	// ProcedureRetire has a storage machine be emptied.
	ProcedureRetire = Prefix + "Retire"
)

// ErrNotMessage tells that a type has no generated JSON code.
const ErrNotMessage = errors.ConstError("not a message between peers")

// easyCodec is connect's codec of messages with generated JSON code; it counts the bytes of bodies that it writes and reads.
type easyCodec struct{ sent, received *metrics.Counter }

func codec(procedure, side string) easyCodec {
	return easyCodec{sentBytes.With(procedure, side), receivedBytes.With(procedure, side)}
}

// Name is that of the codec in content types.
func (easyCodec) Name() string { return "easyjson" }

// Marshal writes a message as JSON; an error names a type without generated code.
func (c easyCodec) Marshal(message any) ([]byte, error) {
	value, isMessage := message.(easyjson.Marshaler)
	if !isMessage {
		return nil, errors.Annotatef(ErrNotMessage, "%T", message)
	}
	text, err := easyjson.Marshal(value)
	c.sent.Add(len(text))
	return text, err
}

// Unmarshal reads a copy, since raw parts of a message stay in use after the transport takes its buffer back.
func (c easyCodec) Unmarshal(text []byte, message any) error {
	value, isMessage := message.(easyjson.Unmarshaler)
	if !isMessage {
		return errors.Annotatef(ErrNotMessage, "%T", message)
	}
	c.received.Add(len(text))
	return easyjson.Unmarshal(bytes.Clone(text), value)
}

// maxMessage is the longest body that is read, in bytes.
const maxMessage = 16 << 20

// Serve answers one procedure on the mux. An error of the handler reaches the caller as that of its call.
func Serve[Request, Answer any](mux *http.ServeMux, procedure string, handle func(context.Context, *Request) (*Answer, error)) {
	name := procedure[len(Prefix):]
	calls, failures := calls.With(name, sideServed), callErrors.With(name, sideServed)
	counted := func(ctx context.Context, request *Request) (*Answer, error) {
		calls.Inc()
		answer, err := handle(ctx, request)
		if err != nil {
			failures.Inc()
		}
		return answer, err
	}
	mux.Handle(procedure, connect.NewUnaryHandlerSimple(procedure, counted,
		connect.WithCodec(codec(name, sideServed)), connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil)))
}

// Caller makes calls to peers over kept connections.
type Caller struct{ client *http.Client }

// NewCaller makes a caller that uses the client, as Client makes it.
func NewCaller(client *http.Client) *Caller { return &Caller{client} }

// Call asks the peer at an address, for as long as the limit; its error names the procedure and the peer.
func Call[Request, Answer any](ctx context.Context, caller *Caller, address, procedure string, limit time.Duration, request *Request) (*Answer, error) {
	ctx, release := context.WithTimeout(ctx, limit)
	defer release()
	return callThrough[Request, Answer](ctx, caller.client, address, procedure, request)
}

// callThrough calls a procedure of a peer and checks its answer; an error names the procedure and the peer.
func callThrough[Request, Answer any](ctx context.Context, client connect.HTTPClient, address, procedure string, request *Request) (*Answer, error) {
	name := procedure[len(Prefix):]
	calls.With(name, sideMade).Inc()
	connection := connect.NewClient[Request, Answer](client, "http://"+address+procedure,
		connect.WithCodec(codec(name, sideMade)), connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
	answer, err := connection.CallUnary(ctx, connect.NewRequest(request))
	if err == nil {
		err = check(answer.Msg)
	}
	if err != nil {
		callErrors.With(name, sideMade).Inc()
		return nil, errors.Annotatef(err, "%s at peer %s", name, address)
	}
	return answer.Msg, nil
}

// check lets an answer that has a Check refuse itself.
func check(answer any) error {
	if checked, isChecked := answer.(interface{ Check() error }); isChecked {
		return checked.Check()
	}
	return nil
}

// NeverSent tells whether a failed call certainly did not reach the peer.
func NeverSent(err error) bool {
	return isDialError(err)
}
