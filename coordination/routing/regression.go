package routing

// regression is a line fitted by least squares to samples whose weights decay.
type regression struct {
	weight, x, y, xx, xy float64
}

// regressionDecay is the factor by which a sample's weight falls with each one
// that follows: about the last fifty count.
const regressionDecay = 0.98

// Bounds of a trustworthy slope.
const (
	minRegressionWeight   = 5
	minRegressionVariance = 0.5
)

func (r *regression) add(x, y float64) {
	r.weight = r.weight*regressionDecay + 1
	r.x = r.x*regressionDecay + x
	r.y = r.y*regressionDecay + y
	r.xx = r.xx*regressionDecay + x*x
	r.xy = r.xy*regressionDecay + x*y
}

// fit returns the line. It is flat where the samples are too few or too alike
// for a slope. No engine's step time falls with the number of requests, so a
// falling slope counts as zero, and the base is at least a tenth of the mean.
func (r *regression) fit() StepTime {
	meanX := r.x / r.weight
	meanY := r.y / r.weight
	variance := r.xx/r.weight - meanX*meanX
	if r.weight < minRegressionWeight || variance < minRegressionVariance {
		return StepTime{Base: meanY}
	}
	slope := max((r.xy/r.weight-meanX*meanY)/variance, 0)
	base := meanY - slope*meanX
	const smallestBase = 0.1
	if base < smallestBase*meanY {
		base = smallestBase * meanY
		slope = (meanY - base) / meanX
	}
	return StepTime{Base: base, PerRequest: slope}
}
