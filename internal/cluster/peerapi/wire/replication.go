package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all replication.go

// LogPosition is the position of a change in the log of a key: the epoch of the leader that proposed it, and its index. The JSON name s
// stands for step, an earlier name of the index.
type LogPosition struct {
	Epoch uint64 `json:"e"`
	Index uint64 `json:"s"`
}

// Below reports whether the position is before another one, by epoch and then by index.
func (p LogPosition) Below(other LogPosition) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Index < other.Index
}

// VoterSet names the disks of the voters of a key. While Old is not empty, the set is joint: a quorum needs a majority of each list.
type VoterSet struct {
	Old     []string `json:"old,omitempty"`
	Current []string `json:"now,omitempty"`
}

// Op sets one pair of a key, a value under a name, or removes it if Value is empty.
type Op struct {
	Name  string              `json:"n"`
	Value easyjson.RawMessage `json:"v,omitempty"`
}

// Change is an entry in the log of a key: the operations on its pairs, and the new voter set if it changes that.
type Change struct {
	Position LogPosition `json:"at"`
	Ops      []Op        `json:"ops,omitempty"`
	Voters   *VoterSet   `json:"set,omitempty"`
}

// Snapshot is the state of a key at the position Last: its voters and all its pairs.
type Snapshot struct {
	Last   LogPosition `json:"last"`
	Voters VoterSet    `json:"set"`
	Pairs  []Op        `json:"pairs,omitempty"`
}

// PromiseCall asks a voter to promise not to follow a leader of a lower epoch any more, like RequestVote of Raft. Disk is the disk of the
// candidate.
type PromiseCall struct {
	Key   string `json:"key"`
	Epoch uint64 `json:"epoch"`
	Disk  string `json:"disk"`
	// PreVote asks for the answer without a binding promise.
	PreVote bool `json:"trial,omitempty"`
}

// PromiseAnswer says whether the voter grants the promise, and holds the state of its replica. Promised is the highest epoch that it has
// promised to any candidate.
type PromiseAnswer struct {
	Granted  bool        `json:"granted,omitempty"`
	Promised uint64      `json:"promised"`
	Last     LogPosition `json:"last"`
	Voters   VoterSet    `json:"set"`
	Disk     string      `json:"disk"`
}

// SnapshotChunk is chunk Number of the Count chunks of a snapshot at a log position. The receiver installs the snapshot once it has all.
type SnapshotChunk struct {
	At     LogPosition `json:"at"`
	Voters VoterSet    `json:"set"`
	Number int         `json:"number"`
	Count  int         `json:"count"`
	Pairs  []Op        `json:"pairs,omitempty"`
}

// AppendCall carries the changes that follow Prev, a snapshot, or a chunk of one. With none of them it is a heartbeat or a release. Leader
// and Disk name the process and the disk of the leader. Release is set if the leader, or a candidate that has won the election, gives up the
// key.
type AppendCall struct {
	Key      string         `json:"key"`
	Epoch    uint64         `json:"epoch"`
	Leader   string         `json:"owner"`
	Disk     string         `json:"disk"`
	Prev     LogPosition    `json:"prev"`
	Changes  []Change       `json:"changes,omitempty"`
	Snapshot *Snapshot      `json:"snapshot,omitempty"`
	Chunk    *SnapshotChunk `json:"piece,omitempty"`
	Release  bool           `json:"release,omitempty"`
	// Successor is the disk whose steward should be the first candidate after a release.
	Successor string `json:"heir,omitempty"`
	// VotedOut tells a voter that has answered with Leaving that a voter set without it is committed.
	VotedOut bool `json:"voted_out,omitempty"`
}

// AppendAnswer says whether the follower accepted the call, and holds the state of its replica after it. WallMs is the time of day at the
// follower in milliseconds since 1970.
type AppendAnswer struct {
	Taken    bool        `json:"taken,omitempty"`
	Promised uint64      `json:"promised"`
	Last     LogPosition `json:"last"`
	Disk     string      `json:"disk"`
	WallMs   int64       `json:"wall"`
	// DelayUs is the time from the arrival of the call to this answer in microseconds, at least 1. It is 0 from a peer of an earlier version.
	DelayUs int64 `json:"delay,omitempty"`
	// Chunks is the number of received chunks of the snapshot in transfer. A peer of an earlier version omits it.
	Chunks int `json:"pieces,omitempty"`
	// Leaving is set if the process is shutting down or its disk is being emptied, so that another disk should replace it as a voter.
	Leaving bool `json:"leaving,omitempty"`
}

// FetchCall asks for the changes after From, or for the snapshot if From is nil or the changes after it are no longer stored.
type FetchCall struct {
	Key  string       `json:"key"`
	From *LogPosition `json:"from,omitempty"`
	// Chunked limits the size of the answer: it holds some of the changes, or chunk Number of the snapshot. A peer of an earlier version
	// ignores Chunked and answers in full.
	Chunked bool `json:"chunked,omitempty"`
	Number  int  `json:"number,omitempty"`
}

// FetchAnswer holds the changes after the requested position, or the snapshot. HasReplica is false if the disk has no replica of the key.
type FetchAnswer struct {
	HasReplica bool     `json:"found,omitempty"`
	Snapshot   Snapshot `json:"snapshot"`
	Changes    []Change `json:"changes,omitempty"`
	Disk       string   `json:"disk"`
	// Chunk is the requested chunk of the snapshot. Snapshot is then empty.
	Chunk *SnapshotChunk `json:"chunk,omitempty"`
}

// IdentifyCall asks a steward for the name of its disk.
type IdentifyCall struct{}

// IdentifyAnswer names the disk of the steward, or the disk in memory that it uses instead (TemporaryDisk), or neither. IsNew is set if the
// disk was empty when the process started.
type IdentifyAnswer struct {
	Disk          string `json:"disk"`
	TemporaryDisk string `json:"makeshift,omitempty"`
	IsNew         bool   `json:"fresh,omitempty"`
}
