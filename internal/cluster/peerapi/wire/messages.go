// Package wire holds the messages that the processes of the system send each other, and the records of which they are made: log
// positions, voter sets, members, jobs' terms. Their JSON names are what is sent and stored, and stay; golden tests hold them.
package wire

import (
	"github.com/juju/errors"
	"github.com/mailru/easyjson"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all messages.go

// LogPosition is the place of a change in a key's history: the epoch of the leader that proposed it and its index.
type LogPosition struct {
	Epoch uint64 `json:"e"`
	Index uint64 `json:"s"`
}

// Below orders positions by epoch, then by index.
func (s LogPosition) Below(other LogPosition) bool {
	return s.Epoch < other.Epoch || s.Epoch == other.Epoch && s.Index < other.Index
}

// VoterSet names disks; while Old is there, a majority of both is asked for.
type VoterSet struct {
	Old []string `json:"old,omitempty"`
	Now []string `json:"now,omitempty"`
}

// Op sets one named value of a key; an empty value removes it.
type Op struct {
	Name  string              `json:"n"`
	Value easyjson.RawMessage `json:"v,omitempty"`
}

// Change is one entry of a key's log: values that are set, and the voter set from here on, if it changes.
type Change struct {
	Position LogPosition `json:"at"`
	Ops      []Op        `json:"ops,omitempty"`
	Set      *VoterSet   `json:"set,omitempty"`
}

// Snapshot is the whole state of a key at a position.
type Snapshot struct {
	Last  LogPosition `json:"last"`
	Set   VoterSet    `json:"set"`
	Pairs []Op        `json:"pairs,omitempty"`
}

// PromiseCall asks a voter to follow no leader of a lower epoch any more; Disk is that of the candidate.
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
	Set      VoterSet    `json:"set"`
	Disk     string      `json:"disk"`
}

// SnapshotChunk is one of Count parts of the state at a log position; the last one to come lets the state be installed as a whole.
type SnapshotChunk struct {
	At     LogPosition `json:"at"`
	Set    VoterSet    `json:"set"`
	Number int         `json:"number"`
	Count  int         `json:"count"`
	Pairs  []Op        `json:"pairs,omitempty"`
}

// AppendCall brings changes that follow Prev, or a snapshot or a chunk of one; without any it is a heartbeat. Owner
// and Disk are the leader's. Release gives the leadership up.
type AppendCall struct {
	Key      string         `json:"key"`
	Epoch    uint64         `json:"epoch"`
	Owner    string         `json:"owner"`
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
	// DelayUs is the time from the call's arrival to this answer, at least 1; 0 is from a peer of an older form.
	DelayUs int64 `json:"delay,omitempty"`
	// Chunks is how many chunks of the snapshot under way are here; a peer of an older form has none.
	Chunks int `json:"pieces,omitempty"`
	// Leaving tells that the process has been asked to end, so that its disk should be replaced as a voter.
	Leaving bool `json:"leaving,omitempty"`
}

// FetchCall asks for the changes after From, or for the whole state if they are no longer there or From is not named.
type FetchCall struct {
	Key  string       `json:"key"`
	From *LogPosition `json:"from,omitempty"`
	// Chunked asks for no more than one call should carry: some of the changes, or chunk Number of the snapshot.
	// A peer of an older form ignores it and answers with all of them.
	Chunked bool `json:"chunked,omitempty"`
	Number  int  `json:"number,omitempty"`
}

// FetchAnswer holds the changes after the position asked for, or else the whole state. Found is false if the disk
// has no replica of the key.
type FetchAnswer struct {
	Found    bool     `json:"found,omitempty"`
	Snapshot Snapshot `json:"snapshot"`
	Changes  []Change `json:"changes,omitempty"`
	Disk     string   `json:"disk"`
	// Chunk is the part of the snapshot that was asked for; Snapshot is empty then.
	Chunk *SnapshotChunk `json:"chunk,omitempty"`
}

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
	// Past are disks that this machine has lost.
	Past []string `json:"x,omitempty"`
	// Makeshift names a disk that does not outlive the machine's power; it counts where no member has another.
	Makeshift string `json:"m,omitempty"`
}

// MayLead tells whether the member can own keys; a steward without any disk can't.
func (m Member) MayLead() bool { return m.Role == "steward" && (m.Disk != "" || m.Makeshift != "") }

const (
	// StateAlive is a member that answers.
	StateAlive = iota
	// StateSuspect is a member that has not answered lately.
	StateSuspect
	// StateGone is a member that is given up, until it comes back with a higher incarnation.
	StateGone
)

// LeaderFact says who owns a key, and under which epoch.
type LeaderFact struct {
	Key   string `json:"k"`
	Epoch uint64 `json:"e"`
	Name  string `json:"n"`
}

// Digest carries owners that are news, or missing at the other side; the sums show the rest and are never 0.
// A peer of the older form sends no sums, and all of its owners.
type Digest struct {
	Plan      int64        `json:"p,omitempty"`
	Owners    []LeaderFact `json:"o,omitempty"`
	MemberSum uint32       `json:"s,omitempty"`
	OwnerSum  uint32       `json:"h,omitempty"`
}

// Datagram is one message of the failure detector, over UDP. Number joins an answer to its probe; Target is whom a
// helper should probe.
type Datagram struct {
	Kind   string   `json:"k"`
	Number uint64   `json:"q,omitempty"`
	From   Member   `json:"f"`
	Target string   `json:"t,omitempty"`
	News   []Member `json:"w,omitempty"`
	Digest Digest   `json:"g"`
	// PauseMs is how long a steward of many local-proxies asks one to wait between two pings.
	PauseMs int64 `json:"z,omitempty"`
}

// MembersCall compares lists by the caller's sums of each bucket; a call without them is of the older form, and
// is answered with the whole list. Gives marks the second call, which brings what the first answer lacked.
type MembersCall struct {
	From    Member   `json:"from"`
	Members []Member `json:"members,omitempty"`
	Digest  Digest   `json:"digest"`
	Buckets []uint32 `json:"buckets,omitempty"`
	Gives   bool     `json:"gives,omitempty"`
}

// MembersAnswer holds all records of the differing buckets.
type MembersAnswer struct {
	Members   []Member `json:"members,omitempty"`
	Digest    Digest   `json:"digest"`
	Differing []int    `json:"differing,omitempty"`
}

// ConfigurationCall asks for what is newer than Held; a peer of the older form is always given the whole.
type ConfigurationCall struct {
	Held         int64 `json:"held"`
	TakesChanges bool  `json:"changes,omitempty"`
	// TakesChunks lets the whole come as a compressed image in chunks; Image and Offset name where to go on.
	TakesChunks bool   `json:"chunks,omitempty"`
	Image       string `json:"image,omitempty"`
	Offset      int    `json:"offset,omitempty"`
}

// ConfigurationAnswer holds the whole configuration, a chunk of its image, or the changes that lead to it from the
// version that is held; none of them if the peer holds nothing newer.
type ConfigurationAnswer struct {
	Fact    *Configuration        `json:"fact,omitempty"`
	Changes []*ConfigurationDelta `json:"changes,omitempty"`
	Chunk   *ConfigurationChunk   `json:"chunk,omitempty"`
	// Busy says that too many peers are being answered; another one should be asked.
	Busy bool `json:"busy,omitempty"`
}

// ConfigurationChunk is a part of an image: the compressed form of one whole version.
type ConfigurationChunk struct {
	Version int64 `json:"version"`
	// Image is the sha256 of the whole image, in hexadecimal.
	Image string `json:"image"`
	// Size of the image and Offset of the chunk are in bytes.
	Size   int    `json:"size"`
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data"`
}

// ConfigurationDelta makes the plan of one version out of that of another; Digest is that of the result.
type ConfigurationDelta struct {
	Base          int64           `json:"base"`
	Version       int64           `json:"version"`
	Digest        string          `json:"digest"`
	Parts         []DeltaPart     `json:"parts"`
	InitialVoters []InitialVoters `json:"births,omitempty"`
	Moved         []MovedRoute    `json:"moved,omitempty"`
}

// DeltaPart is a span of the base's pieces, or text.
type DeltaPart struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"c,omitempty"`
	Text  string `json:"t,omitempty"`
}

// Configuration is the committed plan as it is passed on; Births are the first voters of its pools.
type Configuration struct {
	Version       int64               `json:"version"`
	Body          easyjson.RawMessage `json:"body"`
	InitialVoters []InitialVoters     `json:"births,omitempty"`
	// Confirmed are the last confirmed versions in the older form on disk; each has a record of its own now.
	Confirmed []ConfirmedVersion `json:"taken,omitempty"`
	// Forgotten is the newest confirmed version whose record was dropped.
	Forgotten int64        `json:"forgotten,omitempty"`
	Moved     []MovedRoute `json:"moved,omitempty"`
}

// MovedRoute names the services that an entry was sent to before.
type MovedRoute struct {
	Entry    string   `json:"entry"`
	Services []string `json:"services"`
}

// InitialVoters are the disks that a service's pool starts with.
type InitialVoters struct {
	Service string   `json:"service"`
	Voters  []string `json:"voters"`
}

// ConfirmedVersion says which body was confirmed under a version: Digest is its sha256 in hexadecimal, or in the older
// form the first eight bytes of it.
type ConfirmedVersion struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// IdentifyCall asks a steward for the name of its disk.
type IdentifyCall struct{}

// IdentifyAnswer has no disk if the steward has none, and then at most a makeshift one.
type IdentifyAnswer struct {
	Disk      string `json:"disk"`
	Makeshift string `json:"makeshift,omitempty"`
	Fresh     bool   `json:"fresh,omitempty"`
}

// ClientCall is a call of a client or operator on the way to a key's owner.
type ClientCall struct {
	Key    string              `json:"key"`
	Verb   string              `json:"verb"`
	Entry  string              `json:"entry,omitempty"`
	ID     string              `json:"id,omitempty"`
	Base   int64               `json:"base,omitempty"`
	Terms  *RouteTerms         `json:"terms,omitempty"`
	Body   easyjson.RawMessage `json:"body,omitempty"`
	LeftMs int64               `json:"left,omitempty"`
}

// RouteTerms are what a job's route says of it: its priority, how many attempts a task has, and the aim for its
// time, as a multiple of its longest chain of work plus TargetMs.
type RouteTerms struct {
	Priority    int     `json:"p,omitempty"`
	MaxAttempts int     `json:"a,omitempty"`
	Stretch     float64 `json:"s,omitempty"`
	TargetMs    int64   `json:"t,omitempty"`
}

// ClientAnswer with Elsewhere set names the leader to ask as Owner, as far as it is known. The call was not taken,
// unless Unclear is set too: then its change was proposed, and a later leader may keep it or not.
type ClientAnswer struct {
	Elsewhere  bool                `json:"elsewhere,omitempty"`
	Unclear    bool                `json:"unclear,omitempty"`
	Owner      string              `json:"owner,omitempty"`
	Status     int                 `json:"status,omitempty"`
	RetryAfter int                 `json:"retry,omitempty"`
	Why        string              `json:"why,omitempty"`
	Body       easyjson.RawMessage `json:"body,omitempty"`
	// Current is the version in force with a refused configuration.
	Current int64 `json:"current,omitempty"`
}

// Check refuses an answer that says nothing.
func (a *ClientAnswer) Check() error {
	if !a.Elsewhere && a.Status < 100 {
		return errors.Errorf("an answer without a status (%d)", a.Status)
	}
	return nil
}

// Capacity is an amount of resources: CPU in thousandths of a core, memory in MB, and GPUs.
type Capacity struct {
	CPU    int64 `json:"cpu-units"`
	Memory int64 `json:"memory-req-mb"`
	GPU    int64 `json:"gpu-count"`
}

// IsDefined lets a capacity of nothing be left out of a message.
func (c Capacity) IsDefined() bool { return c != Capacity{} }

// RunReport and EndReport are what the hold lists of an executor say; a run is Stuck when it makes no progress.
type RunReport struct {
	Task    string `json:"t"`
	Run     int64  `json:"r"`
	Saved   string `json:"c,omitempty"`
	Percent int    `json:"p,omitempty"`
	Stuck   bool   `json:"x,omitempty"`
}

// EndReport is the end of a run; an executor numbers its ends in their order.
type EndReport struct {
	Number int64  `json:"n"`
	Task   string `json:"t"`
	Run    int64  `json:"r"`
	How    string `json:"h"`
	Saved  string `json:"c,omitempty"`
}

// OrderAnswer is what came of an order, AgeMs before it is told.
type OrderAnswer struct {
	Task   string `json:"t"`
	Run    int64  `json:"r"`
	Kind   string `json:"k"`
	Result string `json:"a"`
	AgeMs  int64  `json:"g,omitempty"`
}

// ExchangeCall is what a local-proxy tells the owner of its executor's pool. With a Session, the facts (Proxy to
// Gone) and Changed are what changed after Base, up to Number; Base 0 tells the whole. A session that begins later
// has a higher number. Without a Session, all is whole.
type ExchangeCall struct {
	Key       string        `json:"key"`
	Life      string        `json:"life"`
	Session   uint64        `json:"session,omitempty"`
	Number    uint64        `json:"number,omitempty"`
	Base      uint64        `json:"base,omitempty"`
	Proxy     string        `json:"proxy,omitempty"`
	Domain    string        `json:"domain,omitempty"`
	Labels    []string      `json:"labels,omitempty"`
	Room      Capacity      `json:"room,omitempty"`
	Draining  bool          `json:"draining,omitempty"`
	DepartsMs int64         `json:"departs,omitempty"`
	Gone      []string      `json:"gone,omitempty"`
	Fence     uint64        `json:"fence,omitempty"`
	HoldAgeMs int64         `json:"holdage"`
	Look      uint64        `json:"look,omitempty"`
	Running   []RunReport   `json:"running,omitempty"`
	Changed   []RunReport   `json:"changed,omitempty"`
	Ends      []EndReport   `json:"ends,omitempty"`
	Answers   []OrderAnswer `json:"answers,omitempty"`
	WaitMs    int64         `json:"wait,omitempty"`
}

// Order is one thing that a local-proxy should have its executor do with a run.
type Order struct {
	Kind  string `json:"k"`
	Task  string `json:"t"`
	Run   int64  `json:"r"`
	Spec  string `json:"s,omitempty"`
	Saved string `json:"c,omitempty"`
}

// ExchangeAnswer names the Number that the owner holds; Again asks for the whole, as nothing of the call was taken,
// in a session above the one that is named.
type ExchangeAnswer struct {
	Elsewhere bool    `json:"elsewhere,omitempty"`
	Owner     string  `json:"owner,omitempty"`
	Fence     uint64  `json:"fence,omitempty"`
	Held      uint64  `json:"held,omitempty"`
	Again     bool    `json:"again,omitempty"`
	Session   uint64  `json:"session,omitempty"`
	GrantMs   int64   `json:"grant,omitempty"`
	LastSeen  int64   `json:"seen,omitempty"`
	Look      uint64  `json:"look,omitempty"`
	Orders    []Order `json:"orders,omitempty"`
}

// BeliefsCall asks a node for all that it believes.
type BeliefsCall struct{}

// KeyBelief is what a steward believes of a key that it takes part in.
type KeyBelief struct {
	Key   string      `json:"key"`
	Owner string      `json:"owner"`
	Epoch uint64      `json:"epoch"`
	Last  LogPosition `json:"last"`
	Set   VoterSet    `json:"set"`
}

// JobBelief is the state of a job at the leader of its pool.
type JobBelief struct {
	Key   string `json:"key"`
	ID    string `json:"id"`
	State string `json:"state"`
}

// ExecutorBelief is what the leader of a pool believes of one incarnation of an executor.
type ExecutorBelief struct {
	Key     string `json:"key"`
	Life    string `json:"life"`
	State   string `json:"state"`
	Running int    `json:"running"`
}

// BeliefsAnswer is all that a node believes; what its role does not know is empty.
type BeliefsAnswer struct {
	Name      string           `json:"name"`
	Role      string           `json:"role"`
	Plan      int64            `json:"plan"`
	Members   []Member         `json:"members"`
	Owners    []LeaderFact     `json:"owners"`
	Keys      []KeyBelief      `json:"keys"`
	Jobs      []JobBelief      `json:"jobs"`
	Executors []ExecutorBelief `json:"executors"`
}
