package quota

import "time"

const (
	// windowSlots is the number of parts of a window in which granted tokens are counted. The oldest
	// part counts until all of it lies outside of the window.
	windowSlots = 50
	// windowShare and windowSlack are the size of the limit of a window relative to the tokens of the rate
	// and the burst, and the tokens beyond it. They make up for the part that counts for too long. What a
	// leader grants stays below the bound by six hundredths and 14 tokens, which are left for changes of
	// the leader and standby tokens.
	windowShare = 1.04
	windowSlack = 6
)

// window counts the tokens that were granted within the window of a limit.
type window struct {
	slots [windowSlots + 1]float32 // the current part first
	begin time.Duration            // start of the current part
	total float64
}

// advance drops the parts that lie outside of a window that ends now.
func (w *window) advance(now, length time.Duration) {
	part := length / windowSlots
	if now-w.begin > length+part {
		*w = window{begin: now}
		return
	}
	for now-w.begin >= part {
		w.total = max(0, w.total-float64(w.slots[windowSlots]))
		copy(w.slots[1:], w.slots[:windowSlots])
		w.slots[0] = 0
		w.begin += part
	}
}

// add counts n tokens that are granted now.
func (w *window) add(n float64) {
	w.slots[0] += float32(n)
	w.total += n
}

// remove takes back tokens that have not been used, the latest ones first.
func (w *window) remove(n float64) {
	for i := range w.slots {
		taken := min(n, float64(w.slots[i]))
		w.slots[i] -= float32(taken)
		w.total -= taken
		if n -= taken; n <= 0 {
			return
		}
	}
}

// timeTo returns the time until at most the given number of tokens are counted.
func (w *window) timeTo(now, length time.Duration, count float64) time.Duration {
	total, part := w.total, length/windowSlots
	for i := windowSlots; i >= 0; i-- {
		if total <= count {
			break
		}
		if total -= float64(w.slots[i]); total <= count {
			return w.begin + time.Duration(windowSlots-i+1)*part - now
		}
	}
	return 0
}

// most returns the number of tokens that may be granted within the window, 0 if the limit has no window.
func (l Limit) most() float64 {
	if l.Window <= 0 {
		return 0
	}
	return (l.Rate*l.Window.Seconds()+l.Burst)*windowShare + windowSlack
}
