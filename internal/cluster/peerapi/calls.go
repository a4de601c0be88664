// Package peerapi makes and serves calls between the processes of the cluster. Each procedure has a path and a request and an answer message
// of package wire. The transport is connect-go with a codec for generated JSON code. Serve registers the handler of a procedure. Call and
// CallWithStallTimeout call a peer, and NeverSent reports whether a failed call certainly did not reach the peer.
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

// Prefix is the common prefix of the paths of all procedures.
const Prefix = "/gannetline.v1.Sibling/"

// The paths of the procedures. Most messages of package wire are named after their procedure.
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
	// ProcedureCoordination asks a steward for reports of the keys with locks, numbers and cells that it leads.
	ProcedureCoordination = Prefix + "Coordination"
	// ProcedureEvacuations asks a process for the zones under evacuation that it knows, and for the runs that are still there.
	ProcedureEvacuations = Prefix + "Evacuations"
	// ProcedureExecutors asks a steward for the list of executors.
	ProcedureExecutors = Prefix + "Executors"
	// ProcedureRetire asks a storage machine to empty its disk, or whether that is done.
	ProcedureRetire = Prefix + "Retire"
)

// ErrNotMessage is returned by the codec for a type without generated JSON code.
const ErrNotMessage = errors.ConstError("not a message between peers")

// easyCodec is the connect codec for messages with generated JSON code. It counts the bytes of the bodies that it writes and reads.
type easyCodec struct{ sent, received *metrics.Counter }

// codec returns the codec of one side of a procedure, which counts its bytes under the labels of both.
func codec(procedure, side string) easyCodec {
	return easyCodec{sentBytes.With(procedure, side), receivedBytes.With(procedure, side)}
}

// Name returns the name of the codec in content types.
func (easyCodec) Name() string { return "easyjson" }

// Marshal encodes a message as JSON. For a type without generated code, the error is ErrNotMessage and names the type.
func (c easyCodec) Marshal(message any) ([]byte, error) {
	value, isMessage := message.(easyjson.Marshaler)
	if !isMessage {
		return nil, errors.Annotatef(ErrNotMessage, "%T", message)
	}
	text, err := easyjson.Marshal(value)
	c.sent.Add(len(text))
	return text, err
}

// Unmarshal decodes a message from a copy of the text. Raw fields of the message share memory with what they are decoded from, and the
// transport reuses the buffer of the text.
func (c easyCodec) Unmarshal(text []byte, message any) error {
	value, isMessage := message.(easyjson.Unmarshaler)
	if !isMessage {
		return errors.Annotatef(ErrNotMessage, "%T", message)
	}
	c.received.Add(len(text))
	return easyjson.Unmarshal(bytes.Clone(text), value)
}

// maxMessageBytes is the maximum size of a body that is read.
const maxMessageBytes = 16 << 20

// Serve registers the handler of a procedure on the mux. If the handler returns an error, the call of the peer fails with it.
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
		connect.WithCodec(codec(name, sideServed)), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil)))
}

// Caller makes calls to peers, and reuses idle connections.
type Caller struct{ client *http.Client }

// NewCaller creates a caller with an HTTP client, usually one of Client.
func NewCaller(client *http.Client) *Caller { return &Caller{client} }

// Call calls a procedure of the peer at an address, with a timeout. Its error names the procedure and the peer.
func Call[Request, Answer any](ctx context.Context, caller *Caller, address, procedure string, timeout time.Duration, request *Request) (*Answer, error) {
	ctx, release := context.WithTimeout(ctx, timeout)
	defer release()
	return callWith[Request, Answer](ctx, caller.client, address, procedure, request)
}

// callWith calls a procedure of a peer with an HTTP client and checks the answer. Its error names the procedure and the peer.
func callWith[Request, Answer any](ctx context.Context, client connect.HTTPClient, address, procedure string, request *Request) (*Answer, error) {
	name := procedure[len(Prefix):]
	calls.With(name, sideMade).Inc()
	procedureClient := connect.NewClient[Request, Answer](client, "http://"+address+procedure,
		connect.WithCodec(codec(name, sideMade)), connect.WithReadMaxBytes(maxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
	answer, err := procedureClient.CallUnary(ctx, connect.NewRequest(request))
	if err == nil {
		err = checkAnswer(answer.Msg)
	}
	if err != nil {
		callErrors.With(name, sideMade).Inc()
		return nil, errors.Annotatef(err, "%s at peer %s", name, address)
	}
	return answer.Msg, nil
}

// checkAnswer calls the Check method of an answer if it has one, and returns its error.
func checkAnswer(answer any) error {
	if checkable, hasCheck := answer.(interface{ Check() error }); hasCheck {
		return checkable.Check()
	}
	return nil
}

// NeverSent reports whether a failed call certainly did not reach the peer, because no connection was made.
func NeverSent(err error) bool {
	return isDialError(err)
}
