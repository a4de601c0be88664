package soak

import (
	"net/http"
	"strings"
	"time"

	"gannetline/internal/platform/metrics"
)

// counters are the values of a process's metrics since its start, and the time at which they were read.
type counters struct {
	at         time.Duration
	cpuSeconds float64
	// sentBytes is the number of bytes sent in calls to peers and in datagrams.
	sentBytes float64
	commits   float64
}

// ProcessLoad is the resource use per second of a process over a time without a restart. Commits counts disk transactions, not
// the syncs in them.
type ProcessLoad struct {
	Process   string  `json:"process"`
	Role      Role    `json:"role"`
	Cores     float64 `json:"cores"`
	SentBytes float64 `json:"sent-bytes"`
	Commits   float64 `json:"commits"`
}

// readCounters reads the metrics of all running processes. A process that doesn't answer is left out.
func (s *soak) readCounters() map[nodeIncarnation]counters {
	client := &http.Client{Timeout: sampleTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	read := map[nodeIncarnation]counters{}
	for _, running := range s.cluster.runningProcesses() {
		samples, err := metrics.Fetch(client, endpoint(running.node.IP, internalPort), sampleTimeout)
		if err != nil {
			continue
		}
		read[running] = counters{at: s.recorder.now(), cpuSeconds: samples["process_cpu_seconds_total"],
			sentBytes: sumOf(samples, "gannetline_peer_sent_bytes_total") + sumOf(samples, "gannetline_datagrams_sent_bytes_total"),
			commits:   samples["gannetline_store_transactions_total"]}
	}
	return read
}

// sumOf adds up a metric over all its labels.
func sumOf(samples metrics.Samples, name string) float64 {
	sum := 0.0
	for nameWithLabels, value := range samples {
		if strings.HasPrefix(nameWithLabels, name+"{") || nameWithLabels == name {
			sum += value
		}
	}
	return sum
}

// loadsBetween returns the resource use of each process between two readings. A process that restarted meanwhile is left out.
func loadsBetween(before, after map[nodeIncarnation]counters) []ProcessLoad {
	var loads []ProcessLoad
	for running, last := range after {
		first, isKnown := before[running]
		seconds := (last.at - first.at).Seconds()
		if !isKnown || seconds <= 0 {
			continue
		}
		loads = append(loads, ProcessLoad{Process: running.node.Name, Role: running.node.Role, Cores: (last.cpuSeconds - first.cpuSeconds) / seconds,
			SentBytes: (last.sentBytes - first.sentBytes) / seconds, Commits: (last.commits - first.commits) / seconds})
	}
	return loads
}

// maxLoadOf returns the maximum of each figure over the processes of a role.
func maxLoadOf(loads []ProcessLoad, role Role) ProcessLoad {
	var maximum ProcessLoad
	for _, load := range loads {
		if load.Role == role {
			maximum.Cores, maximum.SentBytes, maximum.Commits = max(maximum.Cores, load.Cores), max(maximum.SentBytes, load.SentBytes), max(maximum.Commits, load.Commits)
		}
	}
	return maximum
}
