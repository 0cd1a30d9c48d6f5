package interf

import (
	"math"
	"slices"
)

// Factors holds the pressure that each best-effort image adds to one latency-critical image when it uses all CPUs of
// a worker. A Kalman filter updates the factors and their covariance with each measurement.
//
// It holds the images that were measured last, maxBestEffortImages at most. A forgotten image counts as one that was never seen.
type Factors struct {
	images     []string    // best-effort images; the index in estimates, covariance and measuredAt
	estimates  []float64   // estimated factor of each image
	covariance [][]float64 // covariance matrix of the estimates
	measuredAt []float64   // time of the last measurement of each image, in seconds
	updatedAt  float64     // time of the last update, in seconds
	cached     comparison  // last result of FactorAndMean
}

// CPUUsage is the share of a worker's CPUs that each best-effort image uses there.
type CPUUsage struct {
	images []imageUsage
}

// imageUsage is the usage of one best-effort image, summed over its tasks on the worker.
type imageUsage struct {
	image string
	share float64 // of the worker's CPUs, from 0 to 1
}

// Add adds the CPU share of a task of an image.
func (u *CPUUsage) Add(image string, share float64) {
	for i := range u.images {
		if u.images[i].image == image {
			u.images[i].share += share
			return
		}
	}
	u.images = append(u.images, imageUsage{image, share})
}

// comparison is the factor of a best-effort image and the mean factor of all images.
type comparison struct {
	valid        bool // false: not computed since the factors last changed
	image        string
	factor, mean float64
}

const (
	// maxBestEffortImages is well above the images that run beside each other. An update takes time and memory with its square.
	maxBestEffortImages = 64
	// priorFactor and priorFactorStdDev are the mean and standard deviation assumed for a pair of images that has
	// never been seen.
	priorFactor       = 0.5
	priorFactorStdDev = 0.6
	// factorDrift is the standard deviation of a factor's change within one second.
	factorDrift = 0.02
	// factorMeasurementNoise is the standard deviation of the part of a measured pressure that the factors can't
	// explain. Measurements of tasks on the same worker share a part of this noise.
	factorMeasurementNoise = 0.08
	// maxResidual limits the residual with which a measurement enters the filter, as some measurements are outliers.
	maxResidual = 0.25
)

// index returns the index of a best-effort image, or -1 if it hasn't been seen.
func (f *Factors) index(image string) int {
	for i, seen := range f.images {
		if seen == image {
			return i
		}
	}
	return -1
}

// Factor returns the factor of a best-effort image, or priorFactor if the image hasn't been seen.
func (f *Factors) Factor(image string) float64 {
	if i := f.index(image); i >= 0 {
		return f.estimates[i]
	}
	return priorFactor
}

// meanFactor returns the mean factor of the best-effort images seen, or priorFactor if there are none.
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

// FactorAndMean returns the factor of a best-effort image and the mean factor of all images. The last result is
// cached, as placement calls it for the same image many times in a row.
func (f *Factors) FactorAndMean(image string) (factor, mean float64) {
	if c := &f.cached; !c.valid || c.image != image {
		*c = comparison{true, image, f.Factor(image), f.meanFactor()}
	}
	return f.cached.factor, f.cached.mean
}

// forgetOldest forgets the image that was measured longest ago.
func (f *Factors) forgetOldest() {
	oldest := slices.Index(f.measuredAt, slices.Min(f.measuredAt))
	f.images = slices.Delete(f.images, oldest, oldest+1)
	f.estimates = slices.Delete(f.estimates, oldest, oldest+1)
	f.measuredAt = slices.Delete(f.measuredAt, oldest, oldest+1)
	f.covariance = slices.Delete(f.covariance, oldest, oldest+1)
	for i := range f.covariance {
		f.covariance[i] = slices.Delete(f.covariance[i], oldest, oldest+1)
	}
}

// setFactor sets an image's factor and its standard deviation at a time, uncorrelated with the other factors.
func (f *Factors) setFactor(at float64, image string, factor, stdDev float64) {
	f.cached.valid = false
	i := f.index(image)
	if i < 0 {
		if len(f.images) >= maxBestEffortImages {
			f.forgetOldest()
		}
		i = len(f.images)
		f.images = append(f.images, image)
		f.estimates = append(f.estimates, 0)
		f.measuredAt = append(f.measuredAt, at)
		for k := range f.covariance {
			f.covariance[k] = append(f.covariance[k], 0)
		}
		f.covariance = append(f.covariance, make([]float64, i+1))
	}
	for k := range f.covariance {
		f.covariance[i][k], f.covariance[k][i] = 0, 0
	}
	f.estimates[i] = factor
	f.covariance[i][i] = stdDev * stdDev
}

// addMeasured adds the images of a measurement that aren't known, and notes when all of them were measured.
func (f *Factors) addMeasured(at float64, images []imageUsage) {
	for _, u := range images {
		if i := f.index(u.image); i >= 0 {
			f.measuredAt[i] = max(f.measuredAt[i], at)
		}
	}
	// The images of this measurement aren't the oldest any more, so that none of them is forgotten for another.
	for _, u := range images {
		if f.index(u.image) < 0 {
			f.setFactor(at, u.image, priorFactor, priorFactorStdDev)
		}
	}
}

// expectedPressure returns the pressure expected from the best-effort images at their CPU usage, and its variance.
func (f *Factors) expectedPressure(usage CPUUsage) (sum, variance float64) {
	for _, u := range usage.images {
		i := f.index(u.image)
		if i < 0 {
			sum += priorFactor * u.share
			variance += priorFactorStdDev * priorFactorStdDev * u.share * u.share
			continue
		}
		sum += f.estimates[i] * u.share
		for _, v := range usage.images {
			if k := f.index(v.image); k >= 0 {
				variance += f.covariance[i][k] * u.share * v.share
			}
		}
	}
	return sum, variance
}

// update performs the Kalman filter's update step. The residual is the measured pressure minus the expected one;
// noise is its variance without the variance of the factors themselves.
func (f *Factors) update(at float64, usage CPUUsage, residual, noise float64) {
	f.addMeasured(at, usage.images[:min(len(usage.images), maxBestEffortImages)])
	elapsed := max(0, at-f.updatedAt)
	f.updatedAt = max(f.updatedAt, at)
	for i := range f.covariance {
		f.covariance[i][i] = min(f.covariance[i][i]+factorDrift*factorDrift*elapsed, priorFactorStdDev*priorFactorStdDev)
	}
	_, variance := f.expectedPressure(usage)
	gain := make([]float64, len(f.images))
	for i := range gain {
		for _, u := range usage.images {
			if k := f.index(u.image); k >= 0 {
				gain[i] += f.covariance[i][k] * u.share
			}
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
