package interf

import "math"

// Factors are what filling images add to the pressure on a serving image, for each worker's
// worth of processors that they use. They are learned from every reading by a Kalman filter,
// which also knows how sure each is.
type Factors struct {
	fills []string // images
	value []float64
	cov   [][]float64
	at    float64    // seconds
	last  comparison // the answer of the last call of Compare
}

// Usage is the share of a worker's processors that each filling image uses there.
type Usage struct {
	images []imageUsage
}

type imageUsage struct {
	image string
	share float64
}

// Add counts what a task of an image uses.
func (u *Usage) Add(image string, share float64) {
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
	known    bool
	image    string
	of, mean float64
}

const (
	// priorFactor and factorSpread are the mean and standard deviation assumed of a pair never seen.
	priorFactor  = 0.5
	factorSpread = 0.6
	// factorDrift is how far a factor may move within a second.
	factorDrift = 0.02
	// pairNoise is the standard deviation of a reading's pressure as far as the factors can't
	// explain it: readings of the tasks on a worker share a part of theirs.
	pairNoise = 0.08
	// maxResidual bounds the error that a reading is taken to have: some are far off.
	maxResidual = 0.25
)

func (f *Factors) index(fill string) int {
	for i, name := range f.fills {
		if name == fill {
			return i
		}
	}
	return -1
}

// Of returns the factor of a filling image; one never seen has the factor assumed of any pair.
func (f *Factors) Of(fill string) float64 {
	if i := f.index(fill); i >= 0 {
		return f.value[i]
	}
	return priorFactor
}

// mean returns the average factor of the filling images seen.
func (f *Factors) mean() float64 {
	if len(f.value) == 0 {
		return priorFactor
	}
	sum := 0.0
	for _, v := range f.value {
		sum += v
	}
	return sum / float64(len(f.value))
}

// Compare returns the factor of a filling image and the mean of all. Placing asks for the same image many
// times in a row, so the last answer is kept.
func (f *Factors) Compare(fill string) (of, mean float64) {
	if a := &f.last; !a.known || a.image != fill {
		*a = comparison{true, fill, f.Of(fill), f.mean()}
	}
	return f.last.of, f.last.mean
}

// set gives an image a factor with a standard deviation.
func (f *Factors) set(fill string, value, spread float64) {
	f.last.known = false
	i := f.index(fill)
	if i < 0 {
		i = len(f.fills)
		f.fills = append(f.fills, fill)
		f.value = append(f.value, 0)
		for k := range f.cov {
			f.cov[k] = append(f.cov[k], 0)
		}
		f.cov = append(f.cov, make([]float64, i+1))
	}
	for k := range f.cov {
		f.cov[i][k], f.cov[k][i] = 0, 0
	}
	f.value[i] = value
	f.cov[i][i] = spread * spread
}

// expect returns the pressure expected from images with the shares of processors that they
// use, and its variance.
func (f *Factors) expect(use Usage) (sum, variance float64) {
	for _, u := range use.images {
		i := f.index(u.image)
		if i < 0 {
			sum += priorFactor * u.share
			variance += factorSpread * factorSpread * u.share * u.share
			continue
		}
		sum += f.value[i] * u.share
		for _, v := range use.images {
			if k := f.index(v.image); k >= 0 {
				variance += f.cov[i][k] * u.share * v.share
			}
		}
	}
	return sum, variance
}

// learn takes a reading's error: the pressure it shows less the one expected, whose variance
// without the factors' own is noise.
func (f *Factors) learn(at float64, use Usage, residual, noise float64) {
	for _, u := range use.images {
		if f.index(u.image) < 0 {
			f.set(u.image, priorFactor, factorSpread)
		}
	}
	elapsed := max(0, at-f.at)
	f.at = max(f.at, at)
	for i := range f.cov {
		f.cov[i][i] = min(f.cov[i][i]+factorDrift*factorDrift*elapsed, factorSpread*factorSpread)
	}
	_, variance := f.expect(use)
	gain := make([]float64, len(f.fills))
	for i := range gain {
		for _, u := range use.images {
			gain[i] += f.cov[i][f.index(u.image)] * u.share
		}
	}
	f.last.known = false
	total := variance + noise
	residual = math.Copysign(min(math.Abs(residual), maxResidual), residual)
	for i := range gain {
		f.value[i] = max(0, f.value[i]+gain[i]/total*residual)
		for k := range gain {
			f.cov[i][k] -= gain[i] * gain[k] / total
		}
	}
}
