package client

//go:generate go run github.com/mailru/easyjson/easyjson -all messages.go

// refusalText is the body of an answer that refuses a call.
type refusalText struct {
	Error string `json:"error-text"`
}

// emptyCall is the body of a call without parameters.
type emptyCall struct{}
