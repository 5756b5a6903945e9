package interf

import "math"

// vector contains one value per class.
type vector [maxClasses]float64

const (
	priorDeviation        = 1.5  // prior standard deviation of the log slowdown by a class that uses the whole worker
	processNoise          = 0.04 // deviation added per sample: old samples lose weight, and effects are tested again
	significantDeviations = 2    // standard deviations above zero from which an effect is significant
	maxEffect             = 8    // log slowdown; larger estimates are errors of the model
	modelError            = 0.03 // standard deviation of the model itself, which more samples do not reduce
)

// model estimates how much each class slows a service within a range of load: the logarithm of the slowdown is modeled
// as the sum over classes of effect times used processors. It is a Kalman filter whose state is the effects: it stores
// no samples, separates classes that run at the same time if their usage differs, and provides the variance of its
// estimates.
type model struct {
	known bool   // has a sample
	mean  vector // effects
	cov   [maxClasses]vector
}

func newModel() model {
	var m model
	for i := range m.cov {
		m.cov[i][i] = priorDeviation * priorDeviation
	}
	return m
}

// learn adds the sample of a log slowdown y, with the given variance, under the usage x.
func (m *model) learn(x vector, y, variance float64) {
	m.known = true
	for i := range x {
		m.cov[i][i] = min(m.cov[i][i]+processNoise*processNoise, priorDeviation*priorDeviation)
	}
	m.update(x, y, variance+modelError*modelError)
	// Tasks do not speed up a service. A negative effect is corrected by a measurement of zero: only setting it to zero
	// would leave the other effects fitted to the negative one, and later samples would raise them.
	for i := range x {
		if m.mean[i] < 0 {
			var only vector
			only[i] = 1
			m.update(only, 0, modelError*modelError)
		}
	}
	for i := range x {
		m.mean[i] = min(max(0, m.mean[i]), maxEffect)
	}
}

// update is the measurement update of the Kalman filter.
func (m *model) update(x vector, y, variance float64) {
	var px vector
	predicted := 0.0
	for i := range x {
		for j := range x {
			px[i] += m.cov[i][j] * x[j]
		}
		predicted += m.mean[i] * x[i]
		variance += x[i] * px[i]
	}
	for i := range x {
		m.mean[i] += px[i] / variance * (y - predicted)
		for j := range x {
			m.cov[i][j] -= px[i] * px[j] / variance
		}
	}
}

// reset clears the estimate for one class.
func (m *model) reset(n int) {
	m.mean[n] = 0
	for i := range m.cov {
		m.cov[i][n], m.cov[n][i] = 0, 0
	}
	m.cov[n][n] = priorDeviation * priorDeviation
}

// isSignificant reports whether the effect of a class is significantly above zero. Of two classes that always ran
// together, neither is.
func (m *model) isSignificant(n int) bool { return m.mean[n] > significantDeviations*m.deviation(n) }

func (m *model) deviation(n int) float64 { return math.Sqrt(max(m.cov[n][n], 0)) }

// predict returns the log slowdown under the usage x by classes with a significant effect.
func (m *model) predict(x vector) float64 {
	sum := 0.0
	for i := range x {
		if m.isSignificant(i) {
			sum += m.mean[i] * x[i]
		}
	}
	return sum
}

func exp(x float64) float64 { return math.Exp(x) }
