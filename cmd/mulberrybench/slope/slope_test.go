package slope

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a wrong fit, which would make the extrapolations in docs/CAPACITY.md wrong.
func TestFit(t *testing.T) {
	is := is.New(t)
	var samples []sample
	for _, x := range []float64{50, 100, 400} {
		samples = append(samples, sample{x, map[string]float64{"y": 7 + 3*x}})
	}
	base, per := fit(samples, "y")
	is.True(base > 6.999 && base < 7.001)
	is.True(per > 2.999 && per < 3.001)
	base, per = fit(samples[:1], "y")
	is.Equal(base, 157.0) // one size gives no slope
	is.Equal(per, 0.0)
}
