package wire

import "slices"

//go:generate go run github.com/mailru/easyjson/easyjson -all evacuation.go

// Evacuations is the list of zones that operators have ordered to evacuate. Number rises with each change of the list, so of two lists the
// one with the higher number is newer. 0 is before the first change.
type Evacuations struct {
	Number int64           `json:"n"`
	Zones  []EvacuatedZone `json:"z,omitempty"`
}

// EvacuatedZone is a zone that gets no new runs or requests. SinceMs is the time of day of the order in milliseconds since 1970.
type EvacuatedZone struct {
	Zone    string `json:"z"`
	SinceMs int64  `json:"t"`
}

// Has reports whether the list contains a zone. A nil list is empty.
func (e *Evacuations) Has(zone string) bool {
	return e != nil && slices.ContainsFunc(e.Zones, func(evacuated EvacuatedZone) bool { return evacuated.Zone == zone })
}

// HasOrder reports whether the list contains a zone with the same time of the order. A nil list is empty.
func (e *Evacuations) HasOrder(order EvacuatedZone) bool {
	return e != nil && slices.Contains(e.Zones, order)
}

// IsNewerThan reports whether the list is newer than another one. A nil list is the one before the first change.
func (e *Evacuations) IsNewerThan(other *Evacuations) bool {
	return e.number() > other.number()
}

func (e *Evacuations) number() int64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// EvacuationsCall asks a process for its list of evacuations, and for the loads of the zones in the pools that it leads.
type EvacuationsCall struct{}

// EvacuationsAnswer holds the evacuations and loads that one process knows. Evacuations is nil if it never received a list.
type EvacuationsAnswer struct {
	Name        string       `json:"name"`
	Role        string       `json:"role"`
	Evacuations *Evacuations `json:"evacuations,omitempty"`
	Loads       []ZoneLoad   `json:"loads,omitempty"`
}

// ZoneLoad is the load of a zone in one pool. Executors counts its executors, and Runs the runs that were sent to them and have not ended.
type ZoneLoad struct {
	Key       string `json:"key"`
	Zone      string `json:"zone"`
	Executors int    `json:"executors"`
	Runs      int    `json:"runs"`
}
