package controlapi

// evacuationList is the list of zones to be emptied, as operators receive it. Number rises with each change of the list.
type evacuationList struct {
	Number int64        `json:"evacuation-number"`
	Zones  []listedZone `json:"zone-list"`
}

// listedZone is an entry of an evacuationList. SinceMs is when the leader handled the operator's call, in milliseconds
// since 1970.
type listedZone struct {
	Zone    string `json:"zone"`
	SinceMs int64  `json:"since-ms"`
}
