package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all membership.go

// Member is the record of one process in the exchange of member lists. Address is for calls between processes, and Control for operators and
// executors. Domain is the zone, and Disk the name of its disk. Of two records of one process, the one with the higher Incarnation is
// newer; within an incarnation, the one with the higher State.
type Member struct {
	Name        string `json:"n"`
	Role        string `json:"r"`
	Domain      string `json:"d"`
	Address     string `json:"a"`
	Control     string `json:"c,omitempty"`
	Disk        string `json:"k,omitempty"`
	Incarnation uint64 `json:"i"`
	State       int    `json:"s,omitempty"`
	// FormerDisks lists the disks that this machine has lost, the newest last.
	FormerDisks []string `json:"x,omitempty"`
	// TemporaryDisk names a disk that does not survive a loss of power. It is used only if no member has a persistent one.
	TemporaryDisk string `json:"m,omitempty"`
}

// MayLead reports whether the member can lead keys. Only stewards with a disk or a temporary disk can.
func (m Member) MayLead() bool { return m.Role == "steward" && (m.Disk != "" || m.TemporaryDisk != "") }

// The states of a member. Of two records of one incarnation, the one with the higher state is newer.
const (
	// StateAlive is the state of a member that answers.
	StateAlive = iota
	// StateSuspect is the state of a member that has not answered the latest probe, neither directly nor through other members.
	StateSuspect
	// StateGone is the state of a member that is considered dead until it returns with a higher incarnation.
	StateGone
)

// KeyLeader names the leader of a key and its epoch.
type KeyLeader struct {
	Key   string `json:"k"`
	Epoch uint64 `json:"e"`
	Name  string `json:"n"`
}

// Digest summarizes the state of the sender. Leaders holds only leaders that are new or that the receiver lacks. MemberSum and LeaderSum are
// checksums of all members (only the stewards to or from a local proxy) and leaders, so that two processes can detect that their lists
// differ; they are never 0. Evacuations is the newest list that the sender knows, or nil if there never was one. A peer of an earlier
// version sends all leaders that it knows, and no sums.
type Digest struct {
	ConfigVersion int64       `json:"p,omitempty"`
	Leaders       []KeyLeader `json:"o,omitempty"`
	MemberSum     uint32      `json:"s,omitempty"`
	LeaderSum     uint32      `json:"h,omitempty"`

	Evacuations *Evacuations `json:"v,omitempty"`
}

// Datagram is a message of the failure detector over UDP. Number matches an ack to its ping. In a request for an indirect probe, Target is
// the member to ping. Updates holds recently changed records.
type Datagram struct {
	Kind    string   `json:"k"`
	Number  uint64   `json:"q,omitempty"`
	From    Member   `json:"f"`
	Target  string   `json:"t,omitempty"`
	Updates []Member `json:"w,omitempty"`
	Digest  Digest   `json:"g"`
	// PingPauseMs is the time between two pings that a steward with many local proxies asks of each.
	PingPauseMs int64 `json:"z,omitempty"`
}

// MembersCall starts a comparison of member lists. Buckets holds the caller's sum of each bucket. A call without them is from a peer of an
// earlier version, and is answered with the whole list. IsFollowUp marks the second call of a comparison, whose Members are the records that
// the first answer lacked.
type MembersCall struct {
	From       Member   `json:"from"`
	Members    []Member `json:"members,omitempty"`
	Digest     Digest   `json:"digest"`
	Buckets    []uint32 `json:"buckets,omitempty"`
	IsFollowUp bool     `json:"gives,omitempty"`
}

// MembersAnswer holds the numbers of the buckets that differ, and all records in them.
type MembersAnswer struct {
	Members   []Member `json:"members,omitempty"`
	Digest    Digest   `json:"digest"`
	Differing []int    `json:"differing,omitempty"`
}
