package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all retire.go

// RetireCall asks a storage machine whether its disk is being emptied. Begin starts that.
type RetireCall struct {
	Begin bool `json:"begin,omitempty"`
}

// RetireAnswer says whether the disk of a storage machine is being emptied, and whether nothing on it is needed any more.
type RetireAnswer struct {
	IsRetiring bool `json:"retiring,omitempty"`
	IsEmpty    bool `json:"empty,omitempty"`
}
