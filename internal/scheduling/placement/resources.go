package placement

// Resources is an amount of resources: CPU units, memory in MB, and GPUs.
type Resources struct{ CPU, Memory, GPU int64 }

// Fits tells whether the need is no more than these in each resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Minus subtracts resource by resource; the result may be negative.
func (r Resources) Minus(need Resources) Resources {
	return Resources{r.CPU - need.CPU, r.Memory - need.Memory, r.GPU - need.GPU}
}

// Plus adds resource by resource.
func (r Resources) Plus(need Resources) Resources {
	return Resources{r.CPU + need.CPU, r.Memory + need.Memory, r.GPU + need.GPU}
}

// Times multiplies each resource, rounded towards zero.
func (r Resources) Times(factor float64) Resources {
	return Resources{int64(float64(r.CPU) * factor), int64(float64(r.Memory) * factor), int64(float64(r.GPU) * factor)}
}

// Max is the larger of the two in each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPU, other.CPU), max(r.Memory, other.Memory), max(r.GPU, other.GPU)}
}

// Min is the smaller of the two in each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.CPU, other.CPU), min(r.Memory, other.Memory), min(r.GPU, other.GPU)}
}

// PartOf is the part that these are of a total, in the resource of which they are the larger part; 0 if there is none of it.
func (r Resources) PartOf(total Resources) float64 {
	part := 0.0
	if total.CPU > 0 {
		part = float64(r.CPU) / float64(total.CPU)
	}
	if total.Memory > 0 {
		part = max(part, float64(r.Memory)/float64(total.Memory))
	}
	return part
}

// slots is how often a need fits, counted no further than most.
func (r Resources) slots(need Resources, limit int64) int64 {
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
