package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all retire.go

// RetireCall asks a storage machine whether it is being emptied; Begin has it begin.
type RetireCall struct {
	Begin bool `json:"begin,omitempty"`
}

// RetireAnswer tells whether a storage machine is being emptied, and whether nothing on its disk counts any more.
type RetireAnswer struct {
	IsRetiring bool `json:"retiring,omitempty"`
	IsEmpty    bool `json:"empty,omitempty"`
}
