package placement

const (
	// spreadGain is the weight of a new sample in a workSpread. spreadPrior is the number of samples that its initial values
	// count for.
	spreadGain  = 0.001
	spreadPrior = 20
	// longRatio is the ratio to the average from which work counts as long.
	longRatio = 3.0
	// usualLongShare is the share of long work from which a long response does not show that its target is slow.
	usualLongShare = 0.01
)

// workSpread describes the distribution of processing times relative to their average. Load pattern: a few percent of the
// requests take several times as long as the others, whatever their target.
type workSpread struct {
	// mean and square are the averages of the ratio and of its square. The average processing time bounds long samples, so mean
	// is above 1 if there are many.
	mean, square float64
	// long is the share of samples of at least longRatio.
	long    float64
	samples int
}

func newWorkSpread() workSpread { return workSpread{mean: 1, square: 1} }

// add adds the ratio of a processing time to the average.
func (w *workSpread) add(ratio float64) {
	ratio = min(ratio, maxSlowness)
	w.samples++
	gain := max(spreadGain, 1/float64(w.samples+spreadPrior))
	w.mean += gain * (ratio - w.mean)
	w.square += gain * (ratio*ratio - w.square)
	long := 0.0
	if ratio >= longRatio {
		long = 1
	}
	w.long += gain * (long - w.long)
}

// remaining returns the expected remaining time of work that is found running, in multiples of the average: long work is
// running for longer and is therefore found more often.
func (w *workSpread) remaining() float64 { return w.square / (2 * w.mean) }

// wait returns the expected time until one of the slots of a target is free for a request, in multiples of the average. excess
// is the number of requests, including it, that exceed the slots.
func (w *workSpread) wait(excess float64, slots int) float64 {
	return (max(excess-1, 0)*w.mean + min(max(excess, 0), 1)*w.remaining()) / float64(slots)
}
