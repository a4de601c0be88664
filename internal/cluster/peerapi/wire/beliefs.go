package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all beliefs.go

// BeliefsCall asks a node for all that it believes.
type BeliefsCall struct{}

// KeyBelief is what a steward believes of a key that it takes part in.
type KeyBelief struct {
	Key    string      `json:"key"`
	Leader string      `json:"owner"`
	Epoch  uint64      `json:"epoch"`
	Last   LogPosition `json:"last"`
	Voters VoterSet    `json:"set"`
}

// JobBelief is the state of a job at the leader of its pool.
type JobBelief struct {
	Key   string `json:"key"`
	ID    string `json:"id"`
	State string `json:"state"`
}

// ExecutorBelief is what the leader of a pool believes of one incarnation of an executor.
type ExecutorBelief struct {
	Key      string `json:"key"`
	Executor string `json:"life"`
	State    string `json:"state"`
	Running  int    `json:"running"`
}

// BeliefsAnswer is all that a node believes; what its role does not know is empty.
type BeliefsAnswer struct {
	Name          string           `json:"name"`
	Role          string           `json:"role"`
	ConfigVersion int64            `json:"plan"`
	Members       []Member         `json:"members"`
	Leaders       []KeyLeader      `json:"owners"`
	Keys          []KeyBelief      `json:"keys"`
	Jobs          []JobBelief      `json:"jobs"`
	Executors     []ExecutorBelief `json:"executors"`
}
