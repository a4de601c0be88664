package jobs

// The largest amounts that a task may ask for or an executor may offer. Larger ones count as these: no executor has as much, and the sums
// over all jobs and executors stay far within 64 bits.
const (
	// MaxCPU is in thousandths of a core.
	MaxCPU = 1_000_000_000
	// MaxMemory is in MB.
	MaxMemory = 1_000_000_000
	// MaxGPU is a number of GPUs.
	MaxGPU = 1_000_000
)

// The largest times in milliseconds. Larger ones count as these, so that sums over the steps and occurrences of a job stay within 64 bits.
const (
	// maxEstimatedMs is about 115 days.
	maxEstimatedMs = 10_000_000_000
	// maxPeriodMs is about 31 years.
	maxPeriodMs = 1_000_000_000_000
	// maxFirstRunMs is a time of day more than 3,000 years after 1970.
	maxFirstRunMs = 100_000_000_000_000
)

// limitAmounts reduces all amounts and times above the largest ones to these.
func (s *Spec) limitAmounts() {
	s.FirstRunMs = min(s.FirstRunMs, maxFirstRunMs)
	s.PeriodMs = min(s.PeriodMs, maxPeriodMs)
	for index := range s.Steps {
		step := &s.Steps[index]
		step.CPU = min(step.CPU, MaxCPU)
		step.Memory = min(step.Memory, MaxMemory)
		step.GPU = min(step.GPU, MaxGPU)
		step.EstimatedMs = min(step.EstimatedMs, maxEstimatedMs)
	}
}

// Work is the estimated work of a number of tasks of the step, in thousandths of core milliseconds and at least 1 for each task. It is a
// floating-point number, since the product of three amounts may exceed 64 bits.
func (s *Step) Work(tasks int) float64 {
	return float64(tasks) * float64(max(1, s.CPU)) * float64(max(1, s.EstimatedMs))
}
