package membership

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// View is an immutable snapshot of a Table for the rest of the process. Members and Stewards are sorted by name. In the view of a
// local proxy, Members holds itself and the stewards. No other process lists local proxies.
type View struct {
	Self     Member
	Members  []Member
	Stewards []Member
	// Leaders holds the leader of each key, by key.
	Leaders map[string]wire.KeyLeader
	// IsIsolated is set at a local proxy if no steward has answered it for Timing.IsolatedAfter.
	IsIsolated bool
	// Evacuations lists the zones that nothing new may be sent to. It is nil if this process never received a list.
	Evacuations *wire.Evacuations
	// EvacuatedAt holds, for each zone of Evacuations, the time at which this process received the order, on its monotonic clock.
	EvacuatedAt map[string]time.Duration
	// LeaderMoved is closed once any key has another leader than in this view.
	LeaderMoved chan struct{}
}

// Steward returns the steward with the given node name, or false if none is listed.
func (v *View) Steward(name string) (Member, bool) {
	index, exists := slices.BinarySearchFunc(v.Stewards, Member{Name: name, Role: RoleSteward}, byName)
	if !exists {
		return Member{}, false
	}
	return v.Stewards[index], true
}

// StewardOf returns the steward that has a disk, persistent or temporary, or false if none is listed.
func (v *View) StewardOf(disk string) (Member, bool) {
	index := slices.IndexFunc(v.Stewards, func(steward Member) bool { return steward.Disk == disk || steward.TemporaryDisk == disk })
	if index < 0 || disk == "" {
		return Member{}, false
	}
	return v.Stewards[index], true
}

// SeesSteward reports whether any steward other than this process is alive and may lead keys.
func (v *View) SeesSteward() bool {
	return slices.ContainsFunc(v.Stewards, func(steward Member) bool {
		return steward.MayLead() && steward.State == wire.StateAlive && Name(steward) != Name(v.Self)
	})
}
