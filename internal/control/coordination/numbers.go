package coordination

import (
	"net/http"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxNumberNames limits the names that have a number sequence in a partition.
	maxNumberNames = 20000
	// numberRange is how many numbers one commit reserves for a name.
	numberRange = 128
)

// numberSequence issues the numbers of one name, up to reserved without another commit. Each answer waits until the commit that reserved
// its number is durable. A new leader sets lastIssued to reserved, since it doesn't know which numbers were issued.
type numberSequence struct {
	lastIssued, reserved uint64
}

// numberTable holds the number sequences of a partition by name.
type numberTable struct {
	byName map[string]*numberSequence
}

func newNumberTable() numberTable { return numberTable{byName: map[string]*numberSequence{}} }

func (t *numberTable) load(name string, value []byte) error {
	var record numberRecord
	err := easyjson.Unmarshal(value, &record)
	t.byName[name] = &numberSequence{lastIssued: record.Reserved, reserved: record.Reserved}
	return err
}

// TakeNumber answers with a number above all that were issued under the name. If the answer is lost, its number is skipped.
func (p *Part) TakeNumber(call *wire.ClientCall, answer answerClient) {
	sequence := p.numbers.byName[call.ID]
	isExhausted := sequence == nil || sequence.lastIssued == sequence.reserved
	switch {
	case sequence == nil && len(p.numbers.byName) >= maxNumberNames:
		answer(overload(http.StatusTooManyRequests, "too many names have numbers"))
		return
	case isExhausted && p.isCommitQueueFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	case sequence == nil:
		sequence = &numberSequence{}
		p.numbers.byName[call.ID] = sequence
	}
	if isExhausted {
		sequence.reserved += numberRange
		p.commit([]wire.Op{newPutOp(recordName(recordNumber, call.ID), &numberRecord{sequence.reserved})}, func(error) {})
	}
	sequence.lastIssued++
	p.answerUnderLease(p.success(&wire.NumberAnswer{Value: sequence.lastIssued}), answer)
}
