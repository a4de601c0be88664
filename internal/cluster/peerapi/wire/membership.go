package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all membership.go

// Member is one process as members tell each other of it. Address is for calls between processes, Control for
// operators and executors, Disk the name of its disk. A higher Incarnation replaces a lower one; within one, a
// higher State does.
type Member struct {
	Name        string `json:"n"`
	Role        string `json:"r"`
	Domain      string `json:"d"`
	Address     string `json:"a"`
	Control     string `json:"c,omitempty"`
	Disk        string `json:"k,omitempty"`
	Incarnation uint64 `json:"i"`
	State       int    `json:"s,omitempty"`
	// FormerDisks are disks that this machine has lost.
	FormerDisks []string `json:"x,omitempty"`
	// TemporaryDisk names a disk that does not outlive the machine's power; it counts where no member has another.
	TemporaryDisk string `json:"m,omitempty"`
}

// MayLead tells whether the member can lead keys; a steward without any disk can't.
func (m Member) MayLead() bool { return m.Role == "steward" && (m.Disk != "" || m.TemporaryDisk != "") }

// The states of a member; of two records of one incarnation, the one with the higher state is the newer.
const (
	// StateAlive is a member that answers.
	StateAlive = iota
	// StateSuspect is a member that has not answered lately.
	StateSuspect
	// StateGone is a member that is given up, until it comes back with a higher incarnation.
	StateGone
)

// KeyLeader tells who leads a key, and under which epoch.
type KeyLeader struct {
	Key   string `json:"k"`
	Epoch uint64 `json:"e"`
	Name  string `json:"n"`
}

// Digest carries leaders that are new, or missing at the other side; the sums show the rest and are never 0. Evacuations are the newest
// that the sender knows, nil if there never were any.
// A peer of an earlier version sends no sums, and all leaders that it knows.
type Digest struct {
	ConfigVersion int64       `json:"p,omitempty"`
	Leaders       []KeyLeader `json:"o,omitempty"`
	MemberSum     uint32      `json:"s,omitempty"`
	LeaderSum     uint32      `json:"h,omitempty"`

	Evacuations *Evacuations `json:"v,omitempty"`
}

// Datagram is one message of the failure detector, over UDP. Number joins an answer to its probe; Target is whom a
// helper should probe.
type Datagram struct {
	Kind    string   `json:"k"`
	Number  uint64   `json:"q,omitempty"`
	From    Member   `json:"f"`
	Target  string   `json:"t,omitempty"`
	Updates []Member `json:"w,omitempty"`
	Digest  Digest   `json:"g"`
	// PingPauseMs is how long a steward of many local-proxies asks one to wait between two pings.
	PingPauseMs int64 `json:"z,omitempty"`
}

// MembersCall compares lists by the caller's sums of each bucket; a call without them is of an earlier version, and
// is answered with the whole list. IsFollowUp marks the second call, which brings what the first answer lacked.
type MembersCall struct {
	From       Member   `json:"from"`
	Members    []Member `json:"members,omitempty"`
	Digest     Digest   `json:"digest"`
	Buckets    []uint32 `json:"buckets,omitempty"`
	IsFollowUp bool     `json:"gives,omitempty"`
}

// MembersAnswer holds all records of the differing buckets.
type MembersAnswer struct {
	Members   []Member `json:"members,omitempty"`
	Digest    Digest   `json:"digest"`
	Differing []int    `json:"differing,omitempty"`
}
