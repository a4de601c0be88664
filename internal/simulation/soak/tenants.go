package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/jobs"
)

const (
	// tenantCount is the number of tenants that share the clients. The first tenant has a limit.
	tenantCount = 2
	// tenantLimitTasks is the number of tasks of size 1 that the first tenant may run at the same time. It may exceed the limit by the
	// fraction tenantOverrun for a short time.
	tenantLimitTasks = 6
	tenantOverrun    = 0.1
	unknownKey       = "nobodys-key"
)

// KeyProbe is a call with an unknown key and its result. The status is 0 if no answer came.
type KeyProbe struct {
	Gate   string
	SentAt time.Duration
	Status int
}

// hasTenants reports whether the configurations name tenants.
func (l *Layout) hasTenants() bool { return l.Mix.Has(FeatureTenants) && !l.LeavesOutTenants }

// keyOf returns the key of a client, or "" without tenants.
func (l *Layout) keyOf(client int) string {
	if !l.hasTenants() {
		return ""
	}
	return keyOfTenant(client % tenantCount)
}

func keyOfTenant(number int) string { return fmt.Sprintf("key-of-tenant-%d", number) }

// tenants returns the tenants of each configuration, nil if there are none.
func (l *Layout) tenants() []configuration.Tenant {
	if !l.hasTenants() {
		return nil
	}
	var all []configuration.Tenant
	for number := range tenantCount {
		tenant := configuration.Tenant{Name: fmt.Sprintf("tenant-%d", number), Keys: []string{keyOfTenant(number)}, Weight: 1}
		if number == 0 {
			tenant.Limit = configuration.UpperLimit{CPU: tenantLimitTasks * taskCPU}
		}
		all = append(all, tenant)
	}
	return all
}

// probeKey calls a gate with an unknown key and records the result.
func (o *operator) probeKey(ctx context.Context, gate Node) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint(gate.IP, frontPort)+jobsPrefix, nil)
	if err != nil {
		return
	}
	request.Host = frontHost
	request.Header.Set("Authorization", "Bearer "+unknownKey)
	probe := KeyProbe{Gate: gate.Name, SentAt: o.recorder.now()}
	if response, err := o.client.Do(request); err == nil {
		response.Body.Close()
		probe.Status = response.StatusCode
	}
	o.recorder.write(func(h *History) { h.KeyProbes = append(h.KeyProbes, probe) })
}

// unknownKeys is the oracle of keys: a call with an unknown key must be refused as unauthorized, fail with a 5xx status or get
// no answer. While moves have removed the queue, no key is looked at and the answer is 404.
func unknownKeys(h *History) []Violation {
	var violations []Violation
	for _, probe := range h.KeyProbes {
		if probe.Status == http.StatusNotFound && h.mix().Has(FeatureMoves) {
			continue
		}
		if probe.Status != 0 && probe.Status != http.StatusUnauthorized && probe.Status/100 != 5 {
			violations = append(violations, Violation{OracleKey, probe.SentAt, fmt.Sprintf("%s answered %d to a key that nobody has", probe.Gate, probe.Status)})
		}
	}
	return violations
}

// exceededLimits is the oracle of quotas: with each start, the tasks of the first tenant that run at the same time take at most
// its limit plus tenantOverrun plus the task that starts, in all pools together.
func exceededLimits(h *History) []Violation {
	if !h.mix().Has(FeatureTenants) {
		return nil
	}
	limited := map[string]bool{}
	for index := range h.Calls {
		if call := &h.Calls[index]; call.Verb == verbSubmit && call.Client%tenantCount == 0 {
			limited[call.Job] = true
		}
	}
	type change struct {
		atMs int64
		by   int
	}
	var changes []change
	for _, run := range h.Runs {
		if !limited[jobs.JobOf(run.Task)] {
			continue
		}
		size := shapeOf(jobs.JobOf(run.Task)).taskSize
		changes = append(changes, change{run.StartMs, size})
		if run.EndMs > 0 {
			changes = append(changes, change{run.EndMs, -size})
		}
	}
	// Within a millisecond the order is unknown, so ends are counted before starts.
	slices.SortFunc(changes, func(a, b change) int {
		if a.atMs != b.atMs {
			return int(a.atMs - b.atMs)
		}
		return a.by - b.by
	})
	const maxRunning = tenantLimitTasks * (1 + tenantOverrun)
	running := 0
	for _, change := range changes {
		running += change.by
		if change.by > 0 && float64(running) > maxRunning+float64(change.by) {
			return []Violation{{OracleQuota, h.sinceStart(change.atMs), fmt.Sprintf("a tenant has tasks of size %d running after a start of size %d, and may have %d", running, change.by, tenantLimitTasks)}}
		}
	}
	return nil
}
