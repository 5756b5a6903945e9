package noise

import "math"

// vector holds a value for each class.
type vector [maxClasses]float64

const (
	priorSpread = 1.5  // standard deviation of the log slowdown by a class that uses the whole worker, before any sample
	drift       = 0.04 // standard deviation added per sample, so that old samples lose weight and blame is tested again
	sureFactor  = 2    // standard deviations above zero from which an effect counts as known
	maxEffect   = 8    // log slowdown; the model is wrong above
	modelError  = 0.03 // standard deviation of the model itself in a window with endless samples
)

// model estimates how much each class slows a service at about one load: the logarithm of the slowdown is taken as the
// sum over classes of effect times used processors. It is a Kalman filter with the effects as its state, which needs no
// stored samples, separates classes that run at once as far as their usage differed, and knows how sure it is.
type model struct {
	known bool
	mean  vector // effects
	cov   [maxClasses]vector
}

func newModel() model {
	var m model
	for i := range m.cov {
		m.cov[i][i] = priorSpread * priorSpread
	}
	return m
}

// learn takes over that usage x went along with the log slowdown y, whose variance is given.
func (m *model) learn(x vector, y, variance float64) {
	m.known = true
	for i := range x {
		m.cov[i][i] = min(m.cov[i][i]+drift*drift, priorSpread*priorSpread)
	}
	m.update(x, y, variance+modelError*modelError)
	// A task does not speed a service up. An effect below zero is corrected as if zero had been measured: setting it to
	// zero alone would leave the other effects where they fit the negative one, and later samples would raise them.
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

// update is the step of a Kalman filter for one measurement.
func (m *model) update(x vector, y, spread float64) {
	var px vector
	predicted := 0.0
	for i := range x {
		for j := range x {
			px[i] += m.cov[i][j] * x[j]
		}
		predicted += m.mean[i] * x[i]
		spread += x[i] * px[i]
	}
	for i := range x {
		m.mean[i] += px[i] / spread * (y - predicted)
		for j := range x {
			m.cov[i][j] -= px[i] * px[j] / spread
		}
	}
}

// forget resets what is known of one class.
func (m *model) forget(n int) {
	m.mean[n] = 0
	for i := range m.cov {
		m.cov[i][n], m.cov[n][i] = 0, 0
	}
	m.cov[n][n] = priorSpread * priorSpread
}

// sure reports whether the effect of a class is above zero beyond doubt. Of two classes that always ran together, the
// model is sure of neither.
func (m *model) sure(n int) bool { return m.mean[n] > sureFactor*m.spread(n) }

func (m *model) spread(n int) float64 { return math.Sqrt(max(m.cov[n][n], 0)) }

// predict returns the log slowdown under usage x by classes of which the model is sure.
func (m *model) predict(x vector) float64 {
	sum := 0.0
	for i := range x {
		if m.sure(i) {
			sum += m.mean[i] * x[i]
		}
	}
	return sum
}

func exp(x float64) float64 { return math.Exp(x) }
