package scalerun

import (
	"slices"
	"time"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	poolKey        = "pool/" + service
	beliefsTimeout = 5 * time.Second
)

// The roles of which costs are told apart: a steward by its part in the pool, all other processes by their own.
const (
	roleLeader    = "owner"
	roleVoter     = "voter"
	roleBystander = "bystander"
	roleHost      = "hollow-host"
)

// Roles are the parts of which slopes are worked out; all but the processes of hollow workers.
var Roles = []string{roleLeader, roleVoter, roleBystander, roleGate, membership.RoleLocalProxy}

// executorsSeen is how many executors the steward knows that knows most of them.
func (r *run) executorsSeen() int {
	limit := 0
	for _, answer := range r.beliefs() {
		limit = max(limit, len(answer.Executors))
	}
	return limit
}

// beliefs asks every steward what it believes; those that don't answer are left out.
func (r *run) beliefs() []*wire.BeliefsAnswer {
	var all []*wire.BeliefsAnswer
	for _, steward := range r.layout.stewards {
		if answer, err := comparenodes.Ask(steward.at(internalPort), beliefsTimeout); err == nil {
			all = append(all, answer)
		}
	}
	return all
}

// poolRoles gives the part of each voter in the pool, leader or voter, by the name of its steward, and the pool's epoch.
func (r *run) poolRoles() (map[string]string, uint64) {
	roles, epoch, leader := map[string]string{}, uint64(0), ""
	for _, answer := range r.beliefs() {
		addVoters(roles, answer)
		for _, known := range answer.Leaders {
			if known.Key == poolKey && known.Epoch > epoch {
				epoch, leader = known.Epoch, known.Name
			}
		}
	}
	if leader != "" {
		roles[leader] = roleLeader
	}
	return roles, epoch
}

// addVoters adds the stewards whose disks vote for the pool, by what one steward believes.
func addVoters(roles map[string]string, answer *wire.BeliefsAnswer) {
	for _, key := range answer.Keys {
		if key.Key != poolKey {
			continue
		}
		for _, member := range answer.Members {
			if member.Role == membership.RoleSteward && slices.Contains(key.Voters.Current, member.Disk) {
				roles[member.Name] = roleVoter
			}
		}
	}
}

// leader gives the place of the pool's leader among the children, or -1.
func (r *run) leader() int {
	roles, _ := r.poolRoles()
	return slices.IndexFunc(r.all(), func(process *child) bool { return roles[process.name] == roleLeader })
}
