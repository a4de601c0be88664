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
		"process_cpu_seconds_total":                cpuSeconds,
		"process_resident_memory_bytes":            residentBytes,
		"process_resident_memory_peak_bytes":       func() float64 { return float64(processUsage().Maxrss) * 1024 },
		"process_open_fds":                         openDescriptorCount,
		"process_voluntary_context_switches_total": func() float64 { return float64(processUsage().Nvcsw) },
		"process_preempted_context_switches_total": func() float64 { return float64(processUsage().Nivcsw) },
		"process_written_blocks_total":             func() float64 { return float64(processUsage().Oublock) },
		"go_goroutines":                            func() float64 { return float64(runtime.NumGoroutine()) },
		"go_heap_alloc_bytes":                      func() float64 { return readRuntimeMetric("/memory/classes/heap/objects:bytes") },
		"go_allocated_bytes_total":                 func() float64 { return readRuntimeMetric("/gc/heap/allocs:bytes") },
		"go_gc_cycles_total":                       func() float64 { return readRuntimeMetric("/gc/cycles/total:gc-cycles") },
	} {
		registry.NewGauge(name, read)
	}
}

// processUsage returns the resource usage of this process, or zeros if the system call fails.
func processUsage() syscall.Rusage {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return syscall.Rusage{}
	}
	return usage
}

func cpuSeconds() float64 {
	usage := processUsage()
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// residentBytes reads the resident memory of this process from /proc. It returns 0 on systems without /proc.
func residentBytes() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(string(fields[1]), 64)
	return pages * float64(os.Getpagesize())
}

// openDescriptorCount counts the open file descriptors of this process. It returns 0 on systems without /proc.
func openDescriptorCount() float64 {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return float64(len(entries))
}

// readRuntimeMetric returns an integer metric of the Go runtime, or 0 if the runtime has no integer metric of that name.
func readRuntimeMetric(name string) float64 {
	samples := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(samples)
	if samples[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return float64(samples[0].Value.Uint64())
}
