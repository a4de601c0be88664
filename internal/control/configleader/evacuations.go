package configleader

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// recordEvacuations is the name of the record with the zones that operators have ordered to be emptied. It stands beside the
// configuration, and changes no version of that.
const recordEvacuations = "evacuations"

// readEvacuations gives the committed list, or nil if there is none yet.
func readEvacuations(pairs []wire.Op) (*wire.Evacuations, error) {
	for _, pair := range pairs {
		if pair.Name != recordEvacuations {
			continue
		}
		evacuations := &wire.Evacuations{}
		err := easyjson.Unmarshal(bytes.Clone(pair.Value), evacuations)
		return evacuations, errors.Annotate(err, "reading the evacuations from disk")
	}
	return nil, nil
}

// Evacuate orders a zone to be emptied, and answers once that is committed. The same order again changes nothing.
func (l *Leader) Evacuate(call *wire.ClientCall, answer answerClient) {
	l.inTurn(answer, func() {
		if l.evacuations.Has(call.ID) {
			l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK})
			return
		}
		next := l.nextEvacuations()
		next.Zones = append(next.Zones, wire.EvacuatedZone{Zone: call.ID, SinceMs: l.leadership.WallMs()})
		l.commitEvacuations(next, answer)
	})
}

// EndEvacuation takes an order back, and answers once that is committed. Where there is none, nothing is to be done.
func (l *Leader) EndEvacuation(call *wire.ClientCall, answer answerClient) {
	l.inTurn(answer, func() {
		if !l.evacuations.Has(call.ID) {
			l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK})
			return
		}
		next := l.nextEvacuations()
		next.Zones = slices.DeleteFunc(next.Zones, func(evacuated wire.EvacuatedZone) bool { return evacuated.Zone == call.ID })
		l.commitEvacuations(next, answer)
	})
}

// Evacuations tells which zones are to be emptied.
func (l *Leader) Evacuations(answer answerClient) {
	evacuations := l.evacuations
	if evacuations == nil {
		evacuations = &wire.Evacuations{}
	}
	body, err := easyjson.Marshal(evacuations)
	if err != nil {
		l.refuseUnwrittenEvacuations(err, answer)
		return
	}
	l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: body})
}

// nextEvacuations is a copy of the list under the next number.
func (l *Leader) nextEvacuations() *wire.Evacuations {
	if l.evacuations == nil {
		return &wire.Evacuations{Number: 1}
	}
	return &wire.Evacuations{Number: l.evacuations.Number + 1, Zones: slices.Clone(l.evacuations.Zones)}
}

// commitEvacuations writes a list, and publishes it once it is durable.
func (l *Leader) commitEvacuations(next *wire.Evacuations, answer answerClient) {
	value, err := easyjson.Marshal(next)
	if err != nil {
		l.refuseUnwrittenEvacuations(err, answer)
		return
	}
	l.commitOps([]wire.Op{{Name: recordEvacuations, Value: value}}, answer, func() wire.ClientAnswer {
		l.evacuations = next
		l.log.Info("evacuations committed", "number", next.Number, "zones", next.Zones)
		l.publishEvacuations(next)
		return wire.ClientAnswer{Status: http.StatusOK}
	})
}

func (l *Leader) refuseUnwrittenEvacuations(err error, answer answerClient) {
	l.log.Error(err, "the evacuations can't be written")
	answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the evacuations could not be written"})
}
