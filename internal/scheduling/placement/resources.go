package placement

// Resources is an amount of resources: CPU in thousandths of a core, memory in MB, and the number of GPUs.
type Resources struct{ CPU, Memory, GPU int64 }

// Fits reports whether need is at most r in each resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Minus subtracts each resource. The result may be negative.
func (r Resources) Minus(need Resources) Resources {
	return Resources{r.CPU - need.CPU, r.Memory - need.Memory, r.GPU - need.GPU}
}

// Plus adds each resource.
func (r Resources) Plus(need Resources) Resources {
	return Resources{r.CPU + need.CPU, r.Memory + need.Memory, r.GPU + need.GPU}
}

// Times multiplies each resource by a factor, rounding towards zero.
func (r Resources) Times(factor float64) Resources {
	return Resources{int64(float64(r.CPU) * factor), int64(float64(r.Memory) * factor), int64(float64(r.GPU) * factor)}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPU, other.CPU), max(r.Memory, other.Memory), max(r.GPU, other.GPU)}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.CPU, other.CPU), min(r.Memory, other.Memory), min(r.GPU, other.GPU)}
}

// DominantShareOf returns r's fraction of the total CPU or of the total memory, whichever is larger. A resource with a total of 0 is left
// out.
func (r Resources) DominantShareOf(total Resources) float64 {
	share := 0.0
	if total.CPU > 0 {
		share = float64(r.CPU) / float64(total.CPU)
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	return share
}

// countSlots returns how many times a need fits into r, up to limit.
func (r Resources) countSlots(need Resources, limit int64) int64 {
	if !r.Fits(need) {
		return 0
	}
	if need.CPU > 0 {
		limit = min(limit, r.CPU/need.CPU)
	}
	if need.Memory > 0 {
		limit = min(limit, r.Memory/need.Memory)
	}
	if need.GPU > 0 {
		limit = min(limit, r.GPU/need.GPU)
	}
	return limit
}
