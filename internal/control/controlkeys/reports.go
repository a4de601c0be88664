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

// report is a message that a state machine answers to a verb.
type report[Message any] interface {
	*Message
	easyjson.Unmarshaler
}

// gatherReports asks the state machines of all keys that are led here, in the order of their names. One that doesn't know the verb is
// left out, and so is what can't be had before ctx is done.
func gatherReports[Message any, Pointer report[Message]](ctx context.Context, m *Manager, verb wire.Verb) []Message {
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
