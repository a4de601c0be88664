package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all beliefs.go

// BeliefsCall asks a node for the state of the cluster as it knows it, which may differ between nodes.
type BeliefsCall struct{}

// KeyBelief is the state of a key as a replica of the key knows it. The disk of the replica may no longer be a voter.
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

// ExecutorBelief is the state of one incarnation of an executor as the leader of its pool knows it. Running counts its runs.
type ExecutorBelief struct {
	Key      string `json:"key"`
	Executor string `json:"life"`
	State    string `json:"state"`
	Running  int    `json:"running"`
}

// BeliefsAnswer is the state of the cluster as a node knows it. Lists that do not apply to the role of the node are empty.
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
