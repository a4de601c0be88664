package coordinationapi

//go:generate go run github.com/mailru/easyjson/easyjson -all -disallow_unknown_fields requests.go

// lockRequest is the body of a call about a lock. Which fields are required depends on the call, see lockRequest.problem.
type lockRequest struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence-number"`
	HoldMs int64  `json:"hold-time-ms"`
}

// numberRequest is the body of a call for a number, a JSON object without fields.
type numberRequest struct{}

// putRequest is the body of a put. Expected is the revision that the cell must have, or 0 if the cell must not exist.
type putRequest struct {
	Value    string `json:"value"`
	Expected int64  `json:"enabled"`
}
