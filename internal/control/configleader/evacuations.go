package configleader

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// recordEvacuations is the name of the record with the zones that operators have ordered to be emptied. It is separate from the
// configuration, so that a change of evacuations does not change the version of the configuration.
const recordEvacuations = "evacuations"

// readEvacuations returns the committed list of zones to be emptied, nil if there is none yet.
func readEvacuations(pairs []wire.Op) (*wire.Evacuations, error) {
	for _, pair := range pairs {
		if pair.Name != recordEvacuations {
			continue
		}
		evacuations := &wire.Evacuations{}
		err := easyjson.Unmarshal(bytes.Clone(pair.Value), evacuations)
		return evacuations, errors.Annotate(err, "decoding the stored evacuations")
	}
	return nil, nil
}

// Evacuate adds a zone to the list of zones to be emptied, and answers once that is committed. It is idempotent.
func (l *Leader) Evacuate(call *wire.ClientCall, answer answerFunc) {
	l.runOrQueue(answer, func() {
		if l.evacuations.Has(call.ID) {
			l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK})
			return
		}
		next := l.copyEvacuations()
		next.Zones = append(next.Zones, wire.EvacuatedZone{Zone: call.ID, SinceMs: l.leadership.WallMs()})
		l.commitEvacuations(next, answer)
	})
}

// EndEvacuation removes a zone from the list, and answers once that is committed. It is idempotent.
func (l *Leader) EndEvacuation(call *wire.ClientCall, answer answerFunc) {
	l.runOrQueue(answer, func() {
		if !l.evacuations.Has(call.ID) {
			l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK})
			return
		}
		next := l.copyEvacuations()
		next.Zones = slices.DeleteFunc(next.Zones, func(evacuated wire.EvacuatedZone) bool { return evacuated.Zone == call.ID })
		l.commitEvacuations(next, answer)
	})
}

// RetrieveEvacuations answers with the list of zones to be emptied.
func (l *Leader) RetrieveEvacuations(answer answerFunc) {
	evacuations := l.evacuations
	if evacuations == nil {
		evacuations = &wire.Evacuations{}
	}
	body, err := easyjson.Marshal(evacuations)
	if err != nil {
		l.answerEvacuationsEncodingError(err, answer)
		return
	}
	l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: body})
}

// copyEvacuations returns a copy of the list with the next number.
func (l *Leader) copyEvacuations() *wire.Evacuations {
	if l.evacuations == nil {
		return &wire.Evacuations{Number: 1}
	}
	return &wire.Evacuations{Number: l.evacuations.Number + 1, Zones: slices.Clone(l.evacuations.Zones)}
}

// commitEvacuations commits a list, and publishes it once it is durable.
func (l *Leader) commitEvacuations(next *wire.Evacuations, answer answerFunc) {
	value, err := easyjson.Marshal(next)
	if err != nil {
		l.answerEvacuationsEncodingError(err, answer)
		return
	}
	l.commitOps([]wire.Op{{Name: recordEvacuations, Value: value}}, answer, func() wire.ClientAnswer {
		l.evacuations = next
		l.log.Info("evacuations committed", "number", next.Number, "zones", next.Zones)
		l.publishEvacuations(next)
		return wire.ClientAnswer{Status: http.StatusOK}
	})
}

// answerEvacuationsEncodingError answers a call if the list can't be encoded. That is a fault of this process and not of the call.
func (l *Leader) answerEvacuationsEncodingError(err error, answer answerFunc) {
	l.log.Error(err, "encoding the evacuations failed")
	answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the evacuations could not be written"})
}
