package concurrency

const (
	defaultDecay         = 0.95 // factor on the weight of the older samples for each added one
	minimumSpread        = 0.5  // variance of the occupancy below which no slope is fitted
	minimumUnloadedRatio = 0.2  // lower bound of the fitted value relative to the mean
)

// Curve is a linear fit of a duration in seconds over the occupancy, from exponentially weighted samples. The zero
// value is a curve without samples.
type Curve struct {
	weight, x, y, xx, xy float64
	decay                float64 // 0 stands for defaultDecay
}

// NewCurve returns a curve with one sample of the given duration at an occupancy of 1, whose weight decays as
// measurements arrive.
func NewCurve(seconds float64) Curve { return Curve{weight: 1, x: 1, y: seconds, xx: 1, xy: seconds} }

// NewFastCurve returns a curve without samples, in which each added one multiplies the weight of the older ones by
// decay (0 to 1).
func NewFastCurve(decay float64) Curve { return Curve{decay: decay} }

// Add adds a measured duration in seconds at the occupancy x.
func (c *Curve) Add(x, seconds float64) {
	decay := c.decay
	if decay == 0 {
		decay = defaultDecay
	}
	c.weight = c.weight*decay + 1
	c.x = c.x*decay + x
	c.y = c.y*decay + seconds
	c.xx = c.xx*decay + x*x
	c.xy = c.xy*decay + x*seconds
}

// IsEmpty reports whether the curve has no sample.
func (c *Curve) IsEmpty() bool { return c.weight == 0 }

// Mean returns the weighted mean duration in seconds. The curve must not be empty.
func (c *Curve) Mean() float64 { return c.y / c.weight }

// At returns the fitted duration in seconds at the occupancy x. The curve must not be empty.
func (c *Curve) At(x float64) float64 {
	meanX, meanY := c.x/c.weight, c.y/c.weight
	slope, ok := c.slope()
	if !ok {
		return meanY
	}
	return max(meanY+slope*(x-meanX), meanY*minimumUnloadedRatio)
}

// Reaches returns the occupancy at which the fitted duration reaches the given one. ok is false while the samples
// show no growth with the occupancy.
func (c *Curve) Reaches(seconds float64) (x float64, ok bool) {
	slope, ok := c.slope()
	if !ok || slope == 0 {
		return 0, false
	}
	return c.x/c.weight + (seconds-c.y/c.weight)/slope, true
}

// slope returns the fitted growth of the duration with the occupancy, at least 0. ok is false if the samples are too
// close to each other for a fit.
func (c *Curve) slope() (slope float64, ok bool) {
	if c.IsEmpty() {
		return 0, false
	}
	meanX, meanY := c.x/c.weight, c.y/c.weight
	spread := c.xx/c.weight - meanX*meanX
	if spread < minimumSpread {
		return 0, false
	}
	return max((c.xy/c.weight-meanX*meanY)/spread, 0), true
}
