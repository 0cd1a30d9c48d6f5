package interf

import "math"

// Factors are what filling images add to the pressure on a serving image, for each worker's
// worth of processors that they use. They are learned from every reading by a Kalman filter,
// which also knows how sure each is.
type Factors struct {
	images     []string // images
	estimates  []float64
	covariance [][]float64
	updatedAt  float64    // seconds
	cached     comparison // the answer of the last call of Compare
}

// CPUUsage is the share of a worker's processors that each filling image uses there.
type CPUUsage struct {
	images []imageUsage
}

type imageUsage struct {
	image string
	share float64
}

// Add counts what a task of an image uses.
func (u *CPUUsage) Add(image string, share float64) {
	for i := range u.images {
		if u.images[i].image == image {
			u.images[i].share += share
			return
		}
	}
	u.images = append(u.images, imageUsage{image, share})
}

// comparison is the factor of a filling image beside the mean of all.
type comparison struct {
	valid        bool
	image        string
	factor, mean float64
}

const (
	// priorFactor and factorSpread are the mean and standard deviation assumed of a pair never seen.
	priorFactor       = 0.5
	priorFactorStdDev = 0.6
	// factorDrift is how far a factor may move within a second.
	factorDrift = 0.02
	// factorMeasurementNoise is the standard deviation of a reading's pressure as far as the factors can't
	// explain it: readings of the tasks on a worker share a part of theirs.
	factorMeasurementNoise = 0.08
	// maxResidual bounds the error that a reading is taken to have: some are far off.
	maxResidual = 0.25
)

func (f *Factors) index(fill string) int {
	for i, name := range f.images {
		if name == fill {
			return i
		}
	}
	return -1
}

// Factor returns the factor of a filling image; one never seen has the factor assumed of any pair.
func (f *Factors) Factor(fill string) float64 {
	if i := f.index(fill); i >= 0 {
		return f.estimates[i]
	}
	return priorFactor
}

// meanFactor returns the average factor of the filling images seen.
func (f *Factors) meanFactor() float64 {
	if len(f.estimates) == 0 {
		return priorFactor
	}
	sum := 0.0
	for _, v := range f.estimates {
		sum += v
	}
	return sum / float64(len(f.estimates))
}

// FactorAndMean returns the factor of a filling image and the mean of all. Placing asks for the same image many
// times in a row, so the last answer is kept.
func (f *Factors) FactorAndMean(fill string) (of, mean float64) {
	if a := &f.cached; !a.valid || a.image != fill {
		*a = comparison{true, fill, f.Factor(fill), f.meanFactor()}
	}
	return f.cached.factor, f.cached.mean
}

// setFactor gives an image a factor with a standard deviation.
func (f *Factors) setFactor(fill string, value, spread float64) {
	f.cached.valid = false
	i := f.index(fill)
	if i < 0 {
		i = len(f.images)
		f.images = append(f.images, fill)
		f.estimates = append(f.estimates, 0)
		for k := range f.covariance {
			f.covariance[k] = append(f.covariance[k], 0)
		}
		f.covariance = append(f.covariance, make([]float64, i+1))
	}
	for k := range f.covariance {
		f.covariance[i][k], f.covariance[k][i] = 0, 0
	}
	f.estimates[i] = value
	f.covariance[i][i] = spread * spread
}

// expectedPressure returns the pressure expected from images with the shares of processors that they
// use, and its variance.
func (f *Factors) expectedPressure(use CPUUsage) (sum, variance float64) {
	for _, u := range use.images {
		i := f.index(u.image)
		if i < 0 {
			sum += priorFactor * u.share
			variance += priorFactorStdDev * priorFactorStdDev * u.share * u.share
			continue
		}
		sum += f.estimates[i] * u.share
		for _, v := range use.images {
			if k := f.index(v.image); k >= 0 {
				variance += f.covariance[i][k] * u.share * v.share
			}
		}
	}
	return sum, variance
}

// update takes a reading's error: the pressure it shows less the one expected, whose variance
// without the factors' own is noise.
func (f *Factors) update(at float64, use CPUUsage, residual, noise float64) {
	for _, u := range use.images {
		if f.index(u.image) < 0 {
			f.setFactor(u.image, priorFactor, priorFactorStdDev)
		}
	}
	elapsed := max(0, at-f.updatedAt)
	f.updatedAt = max(f.updatedAt, at)
	for i := range f.covariance {
		f.covariance[i][i] = min(f.covariance[i][i]+factorDrift*factorDrift*elapsed, priorFactorStdDev*priorFactorStdDev)
	}
	_, variance := f.expectedPressure(use)
	gain := make([]float64, len(f.images))
	for i := range gain {
		for _, u := range use.images {
			gain[i] += f.covariance[i][f.index(u.image)] * u.share
		}
	}
	f.cached.valid = false
	total := variance + noise
	residual = math.Copysign(min(math.Abs(residual), maxResidual), residual)
	for i := range gain {
		f.estimates[i] = max(0, f.estimates[i]+gain[i]/total*residual)
		for k := range gain {
			f.covariance[i][k] -= gain[i] * gain[k] / total
		}
	}
}
