package membership

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// View is what the table publishes to the rest of the process; it is never changed after it is made.
// Members and Stewards are sorted by name; a local-proxy knows stewards only, and nobody lists local-proxies.
type View struct {
	Self     Member
	Members  []Member
	Stewards []Member
	Leaders  map[string]wire.KeyLeader
	// IsIsolated is set at a local-proxy that no steward has answered for some time.
	IsIsolated bool
	// Evacuations are the zones that nothing new is to be sent to, nil if there never were any.
	Evacuations *wire.Evacuations
	// EvacuatedAt is when this process learned of the order for each of these zones, on its monotonic clock.
	EvacuatedAt map[string]time.Duration
	// LeaderMoved is closed once any key has another leader than this view says.
	LeaderMoved chan struct{}
}

// Steward finds a steward by its node's name.
func (v *View) Steward(name string) (Member, bool) {
	index, exists := slices.BinarySearchFunc(v.Stewards, Member{Name: name, Role: RoleSteward}, byName)
	if !exists {
		return Member{}, false
	}
	return v.Stewards[index], true
}

// StewardOf finds the steward that keeps a disk, a lasting or a temporary one.
func (v *View) StewardOf(disk string) (Member, bool) {
	index := slices.IndexFunc(v.Stewards, func(steward Member) bool { return steward.Disk == disk || steward.TemporaryDisk == disk })
	if index < 0 || disk == "" {
		return Member{}, false
	}
	return v.Stewards[index], true
}

// SeesSteward tells whether any steward that may lead keys, except this process, is thought alive.
func (v *View) SeesSteward() bool {
	return slices.ContainsFunc(v.Stewards, func(steward Member) bool {
		return steward.MayLead() && steward.State == wire.StateAlive && Name(steward) != Name(v.Self)
	})
}
