package client

//go:generate go run github.com/mailru/easyjson/easyjson -all messages.go

// refusalText is the body of a refusal.
type refusalText struct {
	Error string `json:"error-text"`
}

// emptyCall is the body of a call that says nothing.
type emptyCall struct{}
