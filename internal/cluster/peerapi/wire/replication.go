package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all replication.go

// LogPosition is the place of a change in a key's history: the epoch of the leader that proposed it and its index.
type LogPosition struct {
	Epoch uint64 `json:"e"`
	Index uint64 `json:"s"`
}

// Below orders positions by epoch, then by index.
func (p LogPosition) Below(other LogPosition) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Index < other.Index
}

// VoterSet names the disks that vote on a key. While Old is there the set is joint: a majority of both lists is needed.
type VoterSet struct {
	Old     []string `json:"old,omitempty"`
	Current []string `json:"now,omitempty"`
}

// Op sets one named value of a key; an empty value removes it.
type Op struct {
	Name  string              `json:"n"`
	Value easyjson.RawMessage `json:"v,omitempty"`
}

// Change is one entry of a key's log: values that are set, and the voter set from here on, if it changes. On the wire and in
// older documents its index is called a step.
type Change struct {
	Position LogPosition `json:"at"`
	Ops      []Op        `json:"ops,omitempty"`
	Voters   *VoterSet   `json:"set,omitempty"`
}

// Snapshot is the snapshot of a key at a position.
type Snapshot struct {
	Last   LogPosition `json:"last"`
	Voters VoterSet    `json:"set"`
	Pairs  []Op        `json:"pairs,omitempty"`
}

// PromiseCall asks a voter to follow no leader of a lower epoch any more (Raft: RequestVote); Disk is that of the candidate.
type PromiseCall struct {
	Key   string `json:"key"`
	Epoch uint64 `json:"epoch"`
	Disk  string `json:"disk"`
	// PreVote asks what would be answered, and binds nobody.
	PreVote bool `json:"trial,omitempty"`
}

// PromiseAnswer says whether the promise is given, and what the voter holds. Promised is the highest epoch that it
// has promised to anyone.
type PromiseAnswer struct {
	Granted  bool        `json:"granted,omitempty"`
	Promised uint64      `json:"promised"`
	Last     LogPosition `json:"last"`
	Voters   VoterSet    `json:"set"`
	Disk     string      `json:"disk"`
}

// SnapshotChunk is one of Count parts of the state at a log position; once the last has come, the state is installed.
type SnapshotChunk struct {
	At     LogPosition `json:"at"`
	Voters VoterSet    `json:"set"`
	Number int         `json:"number"`
	Count  int         `json:"count"`
	Pairs  []Op        `json:"pairs,omitempty"`
}

// AppendCall brings changes that follow Prev, or a snapshot or a chunk of one; without any it is a heartbeat. Leader
// and Disk name the leader's process and disk. Release gives the leadership up.
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
	// Successor is the disk whose steward should ask first after a release.
	Successor string `json:"heir,omitempty"`
	// VotedOut tells a voter that was leaving that the voter set without it is committed.
	VotedOut bool `json:"voted_out,omitempty"`
}

// AppendAnswer says whether the call was taken, and what the replica holds now. WallMs is the time of day at the
// follower, in milliseconds since 1970.
type AppendAnswer struct {
	Taken    bool        `json:"taken,omitempty"`
	Promised uint64      `json:"promised"`
	Last     LogPosition `json:"last"`
	Disk     string      `json:"disk"`
	WallMs   int64       `json:"wall"`
	// DelayUs is the time from the call's arrival to this answer, at least 1; 0 is from a peer of an earlier version.
	DelayUs int64 `json:"delay,omitempty"`
	// Chunks is how many chunks of the snapshot under way are here; a peer of an earlier version tells none.
	Chunks int `json:"pieces,omitempty"`
	// Leaving tells that the process has been asked to end, so that its disk should be replaced as a voter.
	Leaving bool `json:"leaving,omitempty"`
}

// FetchCall asks for the changes after From, or for the snapshot if they are no longer there or From is not named.
type FetchCall struct {
	Key  string       `json:"key"`
	From *LogPosition `json:"from,omitempty"`
	// Chunked asks for no more than one call should carry: some of the changes, or chunk Number of the snapshot.
	// A peer of an earlier version ignores it and answers with all of them.
	Chunked bool `json:"chunked,omitempty"`
	Number  int  `json:"number,omitempty"`
}

// FetchAnswer holds the changes after the position asked for, or else the snapshot. Found is false if the disk
// has no replica of the key.
type FetchAnswer struct {
	HasReplica bool     `json:"found,omitempty"`
	Snapshot   Snapshot `json:"snapshot"`
	Changes    []Change `json:"changes,omitempty"`
	Disk       string   `json:"disk"`
	// Chunk is the part of the snapshot that was asked for; Snapshot is empty then.
	Chunk *SnapshotChunk `json:"chunk,omitempty"`
}

// IdentifyCall asks a steward for the name of its disk.
type IdentifyCall struct{}

// IdentifyAnswer names the steward's disk, or the one in memory that it uses in place of a disk (TemporaryDisk), or neither.
// IsNew tells that the disk was empty when the process started.
type IdentifyAnswer struct {
	Disk          string `json:"disk"`
	TemporaryDisk string `json:"makeshift,omitempty"`
	IsNew         bool   `json:"fresh,omitempty"`
}
