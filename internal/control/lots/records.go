package lots

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// The kinds of records, as the first two bytes of their names tell them.
const (
	// prefixLot: l/LOT is a lotRecord.
	prefixLot = "l/"
	// prefixBody: b/LOT/INDEX is the body of an item, a JSON text in base64.
	prefixBody = "b/"
	// prefixResult: r/LOT/POSITION is a resultRecord.
	prefixResult = "r/"
	// prefixEnd: e/LOT tells that the lot was ended.
	prefixEnd = "e/"
)

// lotRecord is a lot as it was handed in, without the bodies.
type lotRecord struct {
	Route      string       `json:"route"`
	Tenant     string       `json:"tenant,omitempty"`
	AcceptedMs int64        `json:"accepted"`
	Items      []itemRecord `json:"items"`
}

// itemRecord is an item without its body.
type itemRecord struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Tokens  int64             `json:"tokens,omitempty"`
}

// resultRecord is the result at a position: of which item, how it ended, and its text.
type resultRecord struct {
	Index int    `json:"index"`
	State string `json:"state"`
	Text  string `json:"text,omitempty"`
}

// submission is a lot as a client hands it in.
type submission struct {
	Items []submittedItem `json:"item-list"`
}

// submittedItem is an item as a client hands it in; the body is base64 in JSON.
type submittedItem struct {
	ID      string            `json:"executor-id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"header-list"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"token-count"`
}

// resultList answers a reader.
type resultList struct {
	Total   int           `json:"total"`
	Next    int           `json:"next-token"`
	Results []shownResult `json:"result-list"`
}

// shownResult is a result as a reader sees it.
type shownResult struct {
	ID    string `json:"executor-id"`
	State string `json:"executor-state"`
	Text  string `json:"text"`
}

var _ easyjson.Marshaler = (*resultList)(nil)
