package lots

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// The kinds of records, which are the prefixes of record names.
const (
	// prefixLot: l/LOT is a lotRecord.
	prefixLot = "l/"
	// prefixBody: b/LOT/INDEX is the body of an item without a result, as a base64 string in JSON.
	prefixBody = "b/"
	// prefixResult: r/LOT/POSITION is a resultRecord.
	prefixResult = "r/"
	// prefixEnd: e/LOT exists if the lot was ended by its client.
	prefixEnd = "e/"
)

// lotRecord stores a submitted lot without the bodies of its items. AcceptedMs is in milliseconds since 1970. Address is that of the lot's
// route (configuration.Route.Address), and Version is the version of the configuration by which the lot was accepted; records of earlier
// versions of this program have neither.
type lotRecord struct {
	Route      string       `json:"route"`
	Tenant     string       `json:"tenant,omitempty"`
	AcceptedMs int64        `json:"accepted"`
	Items      []itemRecord `json:"items"`
	Address    string       `json:"address,omitempty"`
	Version    int64        `json:"version,omitempty"`
}

// itemRecord stores an item without its body.
type itemRecord struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Tokens  int64             `json:"tokens,omitempty"`
}

// resultRecord stores the result at a position: the index of the item, the state and the text.
type resultRecord struct {
	Index int    `json:"index"`
	State string `json:"state"`
	Text  string `json:"text,omitempty"`
}

// submission is a lot as submitted by a client.
type submission struct {
	Items []submittedItem `json:"item-list"`
}

// submittedItem is an item as submitted by a client. In JSON, the body is a base64 string.
type submittedItem struct {
	ID      string            `json:"executor-id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"header-list"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"token-count"`
}

// resultList is the answer to a reader. Total is the number of items of the lot. Next is the position from which the client reads on.
type resultList struct {
	Total   int           `json:"total"`
	Next    int           `json:"next-token"`
	Results []shownResult `json:"result-list"`
}

// shownResult is a result in the answer to a reader.
type shownResult struct {
	ID    string `json:"executor-id"`
	State string `json:"executor-state"`
	Text  string `json:"text"`
}

var _ easyjson.Marshaler = (*resultList)(nil)
