package scalerun

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/procfs"

	"gannetline/internal/platform/transportmetrics"
	"gannetline/internal/simulation/hollow"
)

// fetchTimeout is long, as a process under full load answers late.
const fetchTimeout = 20 * time.Second

// sample is what a process had used by one moment: processor time in seconds, memory in bytes.
type sample struct {
	at       time.Time
	cpu      float64
	resident int
	files    int
	wire     transportmetrics.Figures
}

func (r *run) sample(of *child) (sample, error) {
	process, err := procfs.NewProc(of.command.Process.Pid)
	if err != nil {
		return sample{}, errors.Annotatef(err, "sampling %s", of.name)
	}
	stat, err := process.Stat()
	if err != nil {
		return sample{}, errors.Annotatef(err, "sampling %s", of.name)
	}
	files, err := process.FileDescriptorsLen()
	if err != nil {
		return sample{}, errors.Annotatef(err, "sampling %s", of.name)
	}
	taken := sample{at: time.Now(), cpu: stat.CPUTime(), resident: stat.ResidentMemory(), files: files}
	return taken, r.fetch(of.figures+hollow.PathFigures, &taken.wire)
}

// pressure is for how many seconds, so far, something on the machine waited for a processor.
func pressure() float64 {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	waits, err := system.PSIStatsForResource("cpu")
	if err != nil || waits.Some == nil {
		return 0
	}
	return float64(waits.Some.Total) / 1e6
}

// resident is what all children hold now, in bytes.
func (r *run) resident() int {
	sum := 0
	for _, started := range r.all() {
		process, err := procfs.NewProc(started.command.Process.Pid)
		if err != nil {
			continue
		}
		if stat, err := process.Stat(); err == nil {
			sum += stat.ResidentMemory()
		}
	}
	return sum
}

// fetch reads a JSON page of a process.
func (r *run) fetch(url string, into any) error {
	ctx, release := context.WithTimeout(r.ctx, fetchTimeout)
	defer release()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answers %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}
