package coordination

import (
	"net/http"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxNumberNames is how many names for numbers a part has at most.
	maxNumberNames = 20000
	// numberRange is how many numbers one commit reserves.
	numberRange = 128
)

// number counts under one name. All numbers up to reserved belong to this leader once the commit that reserved them is durable, which
// an answer waits for; a new leader begins above.
type number struct {
	last, reserved uint64
}

// numberTable holds the numbers of a part.
type numberTable struct {
	byName map[string]*number
}

func newNumberTable() numberTable { return numberTable{byName: map[string]*number{}} }

func (t *numberTable) load(name string, value []byte) error {
	var record numberRecord
	err := easyjson.Unmarshal(value, &record)
	t.byName[name] = &number{last: record.Reserved, reserved: record.Reserved}
	return err
}

// TakeNumber gives a number that is above all that were given under the name. A number whose answer is lost is a gap.
func (p *Part) TakeNumber(call *wire.ClientCall, answer answerClient) {
	taken := p.numbers.byName[call.ID]
	isExhausted := taken == nil || taken.last == taken.reserved
	switch {
	case taken == nil && len(p.numbers.byName) >= maxNumberNames:
		answer(overload(http.StatusTooManyRequests, "too many names have numbers"))
		return
	case isExhausted && p.isFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	case taken == nil:
		taken = &number{}
		p.numbers.byName[call.ID] = taken
	}
	if isExhausted {
		taken.reserved += numberRange
		p.commit([]wire.Op{writing(recordName(recordNumber, call.ID), &numberRecord{taken.reserved})}, func(error) {})
	}
	taken.last++
	p.answerUnderLease(p.success(&wire.NumberAnswer{Value: taken.last}), answer)
}
