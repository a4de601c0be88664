package wire

import "slices"

//go:generate go run github.com/mailru/easyjson/easyjson -all evacuation.go

// Evacuations are the zones that operators have ordered to be emptied. Number rises with each change of the list, so that of two lists
// the one with the higher number is the newer; 0 is before the first change.
type Evacuations struct {
	Number int64           `json:"n"`
	Zones  []EvacuatedZone `json:"z,omitempty"`
}

// EvacuatedZone is a zone that nothing new is sent to. SinceMs is the time of day of the order, in milliseconds since 1970.
type EvacuatedZone struct {
	Zone    string `json:"z"`
	SinceMs int64  `json:"t"`
}

// Has tells whether a zone is to be emptied. A nil list has none.
func (e *Evacuations) Has(zone string) bool {
	return e != nil && slices.ContainsFunc(e.Zones, func(evacuated EvacuatedZone) bool { return evacuated.Zone == zone })
}

// HasOrder tells whether a zone is to be emptied by the very order. A nil list has none.
func (e *Evacuations) HasOrder(order EvacuatedZone) bool {
	return e != nil && slices.Contains(e.Zones, order)
}

// IsNewerThan compares two lists; nil is before the first change.
func (e *Evacuations) IsNewerThan(other *Evacuations) bool {
	return e.number() > other.number()
}

func (e *Evacuations) number() int64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// EvacuationsCall asks a process which zones it sends nothing new to, and what still runs there as far as it leads pools.
type EvacuationsCall struct{}

// EvacuationsAnswer is what one process knows. Evacuations is nil if it never heard of any.
type EvacuationsAnswer struct {
	Name        string       `json:"name"`
	Role        string       `json:"role"`
	Evacuations *Evacuations `json:"evacuations,omitempty"`
	Loads       []ZoneLoad   `json:"loads,omitempty"`
}

// ZoneLoad is what the leader of a pool knows of one zone: its executors, and the runs that were sent to them and have not ended.
type ZoneLoad struct {
	Key       string `json:"key"`
	Zone      string `json:"zone"`
	Executors int    `json:"executors"`
	Runs      int    `json:"runs"`
}
