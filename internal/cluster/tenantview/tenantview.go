// Package tenantview merges the reports of pools and of the partitions of the tenant count into one row for each tenant, for operators.
package tenantview

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/indentedjson"
)

// Row is the usage of one tenant over all pools. Amounts are in thousandths of a core, MB and GPUs. A Limit of 0 is no limit. Weight and
// Share are the highest that any pool reports.
type Row struct {
	Tenant string  `json:"tenant"`
	Weight float64 `json:"weight"`
	// Part is the key of the partition that counts the tenant, empty if its leader didn't answer.
	Part        string             `json:"part,omitempty"`
	Limit       wire.Capacity      `json:"limit"`
	Granted     wire.Capacity      `json:"granted"`
	Running     wire.Capacity      `json:"running"`
	Waiting     wire.Capacity      `json:"waiting"`
	Runs        int                `json:"runs"`
	WaitingJobs int                `json:"waiting-jobs"`
	SurplusJobs int                `json:"surplus-jobs"`
	Share       float64            `json:"share"`
	Pools       []wire.TenantShare `json:"pools,omitempty"`
}

// View holds all tenants, sorted by name.
type View struct {
	// Version is the newest version of the configuration in any report.
	Version int64 `json:"config-version"`
	Tenants []Row `json:"tenants"`
}

// Join merges reports into a view. While the leader of a key changes, both the old and the new one may report on it. The report with
// the newer version of the configuration then counts, or the later in the list if the versions are equal.
func Join(reports []wire.TenantCountReport) View {
	newest := map[string]wire.TenantCountReport{}
	view := View{Tenants: []Row{}}
	for _, report := range reports {
		view.Version = max(view.Version, report.Version)
		if report.Version >= newest[report.Key].Version {
			newest[report.Key] = report
		}
	}
	rows := map[string]*Row{}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		for _, usage := range newest[key].Tenants {
			if rows[usage.Tenant] == nil {
				rows[usage.Tenant] = &Row{Tenant: usage.Tenant}
			}
			rows[usage.Tenant].add(key, usage)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		view.Tenants = append(view.Tenants, *rows[name])
	}
	return view
}

// add adds the tenant's usage as the leader of one key reported it.
func (r *Row) add(key string, usage wire.TenantUsage) {
	r.Weight, r.Share = max(r.Weight, usage.Weight), max(r.Share, usage.Share)
	r.Runs += usage.Runs
	r.WaitingJobs += usage.WaitingJobs
	r.SurplusJobs += usage.Surplus
	r.Running = plus(r.Running, usage.Running)
	r.Waiting = plus(r.Waiting, usage.Waiting)
	if usage.Limit != nil {
		r.Part, r.Limit = key, *usage.Limit
	}
	for _, grant := range usage.Grants {
		r.Pools = append(r.Pools, grant)
		r.Granted = plus(r.Granted, &grant.Granted)
	}
}

// plus returns the sum of two amounts. An added amount of nil counts as 0.
func plus(sum wire.Capacity, added *wire.Capacity) wire.Capacity {
	if added == nil {
		return sum
	}
	return wire.Capacity{CPU: sum.CPU + added.CPU, Memory: sum.Memory + added.Memory, GPU: sum.GPU + added.GPU}
}

// WriteJSON writes the view as one JSON object.
func (v View) WriteJSON(to io.Writer) error {
	return errors.Annotate(indentedjson.Write(to, v), "writing the tenants")
}

// WriteTable writes a line for each tenant, sorted by the sum of running and waiting CPU, the highest first. With byPool, a line for each
// pool's grant follows that of the tenant.
func (v View) WriteTable(to io.Writer, byPool bool) error {
	rows := slices.Clone(v.Tenants)
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Running.CPU+b.Waiting.CPU, a.Running.CPU+a.Waiting.CPU) })
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	lines := []string{"tenant\tweight\tshare\tlimit\tgranted\trunning\truns\twaiting\twaiting jobs\tsurplus\tpart"}
	for _, row := range rows {
		lines = append(lines, fmt.Sprintf("%s\t%g\t%.3f\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s", row.Tenant, row.Weight, row.Share, limitText(row.Limit),
			amountText(row.Granted), amountText(row.Running), row.Runs, amountText(row.Waiting), row.WaitingJobs, row.SurplusJobs, cmp.Or(row.Part, "-")))
		for _, pool := range row.Pools {
			if byPool {
				lines = append(lines, fmt.Sprintf("  %s\t\t\t\t%s\twants %s\t\t\t\t\t", pool.Asker, amountText(pool.Granted), amountText(pool.Wants)))
			}
		}
	}
	_, err := fmt.Fprintln(table, strings.Join(lines, "\n"))
	return errors.Annotate(cmp.Or(err, table.Flush()), "writing the tenants")
}

// amountText is an amount as cores/MB, or cores/MB/GPUs if it has GPUs.
func amountText(amount wire.Capacity) string {
	text := fmt.Sprintf("%g/%d", float64(amount.CPU)/1000, amount.Memory)
	if amount.GPU > 0 {
		text += fmt.Sprintf("/%d", amount.GPU)
	}
	return text
}

// limitText is a limit as cores/MB, or cores/MB/GPUs if GPUs are limited, with "-" for cores or MB without a limit. No limit at all is
// a single "-".
func limitText(limit wire.Capacity) string {
	if limit == (wire.Capacity{}) {
		return "-"
	}
	cpu, memory := "-", "-"
	if limit.CPU > 0 {
		cpu = fmt.Sprintf("%g", float64(limit.CPU)/1000)
	}
	if limit.Memory > 0 {
		memory = fmt.Sprint(limit.Memory)
	}
	text := cpu + "/" + memory
	if limit.GPU > 0 {
		text += fmt.Sprintf("/%d", limit.GPU)
	}
	return text
}
