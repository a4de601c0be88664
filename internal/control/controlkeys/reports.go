package controlkeys

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// report constrains the pointer type of a message that a state machine returns as the body of its answer.
type report[Message any] interface {
	*Message
	easyjson.Unmarshaler
}

// collectReports runs a verb on the state machines of all keys that this process leads and returns the reports in the order of the keys. It
// omits the state machines that don't know the verb, don't answer before ctx is done, or send a report that can't be decoded.
func collectReports[Message any, Pointer report[Message]](ctx context.Context, m *Manager, verb wire.Verb) []Message {
	if !m.hasDisk() {
		return nil
	}
	runners, err := mailbox.Ask(ctx, m.mailbox, func(answer func(map[string]*keyRunner)) { answer(maps.Clone(m.runners)) })
	if err != nil {
		return nil
	}
	var reports []Message
	for _, key := range slices.Sorted(maps.Keys(runners)) {
		call, runner := &wire.ClientCall{Key: key, Verb: verb}, runners[key]
		answered, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func(wire.ClientAnswer)) { runner.execute(call, answer) })
		if err != nil || answered.Status != http.StatusOK {
			continue
		}
		var message Message
		if easyjson.Unmarshal(answered.Body, Pointer(&message)) == nil {
			reports = append(reports, message)
		}
	}
	return reports
}
