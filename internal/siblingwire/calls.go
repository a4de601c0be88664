package siblingwire

import (
	"bytes"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/span"
)

// Prefix is the path below which siblings call each other.
const Prefix = "/gannetline.v1.Sibling/"

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
)

type easyCodec struct{}

func (easyCodec) Name() string { return "easyjson" }

func (easyCodec) Marshal(message any) ([]byte, error) {
	value, isMessage := message.(easyjson.Marshaler)
	if !isMessage {
		return nil, errors.Errorf("%T is not a sibling message", message)
	}
	return easyjson.Marshal(value)
}

// Unmarshal reads a copy, since raw parts of a message stay in use after the transport takes its buffer back.
func (easyCodec) Unmarshal(text []byte, message any) error {
	value, isMessage := message.(easyjson.Unmarshaler)
	if !isMessage {
		return errors.Errorf("%T is not a sibling message", message)
	}
	return easyjson.Unmarshal(bytes.Clone(text), value)
}

const maxMessage = 16 << 20

// Serve answers one procedure on the mux.
func Serve[Ask, Tell any](mux *http.ServeMux, procedure string, answer func(span.Span, *Ask) (*Tell, error)) {
	mux.Handle(procedure, connect.NewUnaryHandlerSimple(procedure, answer,
		connect.WithCodec(easyCodec{}), connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil)))
}

type Caller struct{ client *http.Client }

func NewCaller(client *http.Client) *Caller { return &Caller{client} }

// Call asks the sibling at an address; its error names the step and the sibling.
func Call[Ask, Tell any](caller *Caller, life span.Span, address, procedure string, limit time.Duration, ask *Ask) (*Tell, error) {
	life, release := span.Within(life, limit)
	defer release()
	client := connect.NewClient[Ask, Tell](caller.client, "http://"+address+procedure,
		connect.WithCodec(easyCodec{}), connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
	answer, err := client.CallUnary(life, connect.NewRequest(ask))
	if err != nil {
		return nil, errors.Annotatef(err, "%s at sibling %s", procedure[len(Prefix):], address)
	}
	return answer.Msg, nil
}

// NeverSent tells whether a failed call certainly did not reach the sibling.
func NeverSent(err error) bool {
	return isDialError(err)
}
