package controlapi

// evacuationList tells an operator which zones are to be emptied. Number rises with each order.
type evacuationList struct {
	Number int64       `json:"evacuation-number"`
	Zones  []shownZone `json:"zone-list"`
}

// shownZone is a zone that is to be emptied, and when that was ordered, in milliseconds since 1970.
type shownZone struct {
	Zone    string `json:"zone"`
	SinceMs int64  `json:"since-ms"`
}
