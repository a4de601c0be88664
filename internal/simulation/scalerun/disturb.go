package scalerun

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/simulation/hollow"
)

const (
	// configurationChanges is how often the configuration changes under load.
	configurationChanges = 3
	// restartAfter lies between the leader's end and its restart.
	restartAfter = 2 * time.Second
	// profileSeconds is how long a processor profile takes.
	profileSeconds = 10
)

// disturb changes the configuration now and then, and kills the leader if that is asked for.
func (r *run) disturb(size *Size) error {
	profiled := make(chan error, 1)
	go func() { profiled <- r.profile() }()
	for turn := range configurationChanges {
		if !r.pause(r.setup.LoadTime / (configurationChanges + 2)) {
			return r.ctx.Err()
		}
		waits, err := r.changeConfiguration()
		if err != nil {
			return err
		}
		for _, wait := range waits {
			size.PlanMs = append(size.PlanMs, float64(wait.Milliseconds()))
		}
		if turn == 0 && r.setup.KillsOwner {
			if err := r.killLeader(); err != nil {
				return err
			}
		}
	}
	return <-profiled
}

// killLeader ends the steward that leads the pool, and starts it again on its disk.
func (r *run) killLeader() error {
	place := r.leader()
	if place < 0 {
		return errors.New("nobody owns the pool")
	}
	killed := r.all()[place]
	r.printf("%s, the owner, is killed", killed.name)
	killed.kill()
	r.pause(restartAfter)
	restarted, err := r.restart(killed)
	if err != nil {
		return err
	}
	all := slices.Clone(r.all())
	all[place] = restarted
	r.children.Store(&all)
	return nil
}

// restart starts a steward again; from its second start on, its settings say that the system isn't new.
func (r *run) restart(former *child) (*child, error) {
	isFormer := func(steward node) bool { return steward.name == former.name }
	steward := r.layout.stewards[slices.IndexFunc(r.layout.stewards, isFormer)]
	text, err := os.ReadFile(steward.settings)
	if err != nil {
		return nil, err
	}
	changed := strings.Replace(string(text), "initial-start: true", "initial-start: false", 1)
	if err := os.WriteFile(steward.settings, []byte(changed), 0o600); err != nil {
		return nil, err
	}
	return r.start(former.name, former.role, former.figures, coresOfRole, "--settings", steward.settings, "measured", former.role)
}

// profile keeps the leader's processor profile beside the report, if that is asked for.
func (r *run) profile() error {
	place := r.leader()
	if !r.setup.IsProfiled || place < 0 {
		return nil
	}
	url := fmt.Sprintf("%s%s?seconds=%d", r.all()[place].figures, hollow.PathProfile, profileSeconds)
	response, err := r.client.Get(url)
	if err != nil {
		return errors.Annotate(err, "profiling the owner")
	}
	defer response.Body.Close()
	file, err := os.Create(filepath.Join(r.setup.Folder, fmt.Sprintf("owner-%d.pprof", r.workers)))
	if err != nil {
		return errors.Annotate(err, "profiling the owner")
	}
	defer file.Close()
	_, err = io.Copy(file, response.Body)
	return errors.Annotate(err, "profiling the owner")
}
