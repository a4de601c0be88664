package metrics

import (
	"bytes"
	"os"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

func init() {
	for name, read := range map[string]func() float64{
		"process_cpu_seconds_total":                processorSeconds,
		"process_resident_memory_bytes":            residentBytes,
		"process_resident_memory_peak_bytes":       func() float64 { return float64(processUsage().Maxrss) * 1024 },
		"process_open_fds":                         openDescriptors,
		"process_voluntary_context_switches_total": func() float64 { return float64(processUsage().Nvcsw) },
		"process_preempted_context_switches_total": func() float64 { return float64(processUsage().Nivcsw) },
		"process_written_blocks_total":             func() float64 { return float64(processUsage().Oublock) },
		"go_goroutines":                            func() float64 { return float64(runtime.NumGoroutine()) },
		"go_heap_alloc_bytes":                      func() float64 { return runtimeValue("/memory/classes/heap/objects:bytes") },
		"go_allocated_bytes_total":                 func() float64 { return runtimeValue("/gc/heap/allocs:bytes") },
		"go_gc_cycles_total":                       func() float64 { return runtimeValue("/gc/cycles/total:gc-cycles") },
	} {
		registry.NewGauge(name, read)
	}
}

// processUsage is all zeros where the system does not tell.
func processUsage() syscall.Rusage {
	var all syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &all); err != nil {
		return syscall.Rusage{}
	}
	return all
}

func processorSeconds() float64 {
	all := processUsage()
	return time.Duration(all.Utime.Nano() + all.Stime.Nano()).Seconds()
}

// residentBytes reads the resident memory of this process from /proc; it is 0 where there is no /proc.
func residentBytes() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(string(fields[1]), 64)
	return pages * float64(os.Getpagesize())
}

func openDescriptors() float64 {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return float64(len(entries))
}

func runtimeValue(name string) float64 {
	samples := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(samples)
	if samples[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return float64(samples[0].Value.Uint64())
}
