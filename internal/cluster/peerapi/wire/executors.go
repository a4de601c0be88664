package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all executors.go

// ExecutorRecord is one executor as the platform lists it.
type ExecutorRecord struct {
	ID         string `json:"i"`
	Service    string `json:"s"`
	Address    string `json:"a"`
	Zone       string `json:"z,omitempty"`
	Slots      int    `json:"n,omitempty"`
	IsDraining bool   `json:"d,omitempty"`
}

// ExecutorListVersion is the version of a list of executors: the epoch of the steward that read it, and the number of the list in that epoch.
type ExecutorListVersion struct {
	Epoch  uint64 `json:"e"`
	Number uint64 `json:"n"`
}

// Below reports whether another version is newer.
func (v ExecutorListVersion) Below(other ExecutorListVersion) bool {
	return v.Epoch < other.Epoch || v.Epoch == other.Epoch && v.Number < other.Number
}

// ExecutorsCall asks for a list that is newer than Held, the version that the caller has. The answer may wait up to WaitMs for one.
type ExecutorsCall struct {
	Held   ExecutorListVersion `json:"held"`
	WaitMs int64               `json:"wait,omitempty"`
}

// ExecutorsAnswer holds a list if HasList is set, otherwise there is no newer one.
type ExecutorsAnswer struct {
	HasList   bool                `json:"has,omitempty"`
	Version   ExecutorListVersion `json:"version"`
	Executors []ExecutorRecord    `json:"executors,omitempty"`
}
