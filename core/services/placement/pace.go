package placement

import (
	"math"
	"time"
)

const (
	// usualPace is the pace of a machine that works as fast as usual, in percent.
	usualPace = 100
	// averagePaceGain is the weight of a new report in the average pace of a service.
	averagePaceGain = 0.01
	// initialPaceHalfLife applies until enough pairs of reports have been received.
	initialPaceHalfLife = 500 * time.Millisecond
	// minPaceHalfLife and maxPaceHalfLife bound the learned half-life.
	minPaceHalfLife = 100 * time.Millisecond
	maxPaceHalfLife = 5 * time.Second
	// paceHalfLifeSteps is the number of half-lives that are compared, in equal ratios.
	paceHalfLifeSteps = 24
	// paceLags is the number of classes of the time between two reports: up to firstPaceLag, twice that, and so on.
	paceLags     = 6
	firstPaceLag = 100 * time.Millisecond
	// pacePairsPerFit is the number of pairs of reports after which the half-life is learned anew, and pacePairMemory the
	// number of pairs after which the weight of a pair has halved.
	pacePairsPerFit = 32
	pacePairMemory  = 512
)

// paceStatistics learns from the reports of the targets of a service how their pace varies. Load pattern: machines that are
// several times as slow as usual for less than a second at a time, and reports that come about as often as that changes.
type paceStatistics struct {
	// average is the average pace in percent.
	average float64
	// halfLife is the time after which half of a deviation from the average has gone.
	halfLife time.Duration
	lags     [paceLags]paceLag
	pairs    int
}

// paceLag holds sums over the pairs of consecutive reports of a target with similar times between them. A deviation is that
// from the average.
type paceLag struct {
	// squares is the sum of the squared earlier deviations, products that of the products of both, and lag that of the times
	// between the reports weighted by the squares, in seconds.
	squares, products, lag float64
}

func newPaceStatistics() *paceStatistics {
	return &paceStatistics{average: usualPace, halfLife: initialPaceHalfLife}
}

// paceReport is the latest reported pace of a target.
type paceReport struct {
	// pace is in percent; zero if the target has reported none.
	pace float64
	at   time.Time
}

// update replaces the report of a target and learns from the pair of both. Reports out of order are ignored.
func (s *paceStatistics) update(report *paceReport, pace int, at time.Time) {
	if !at.After(report.at) {
		return
	}
	if report.pace > 0 {
		s.learnPair(report.pace-s.average, float64(pace)-s.average, at.Sub(report.at))
	}
	s.average += averagePaceGain * (float64(pace) - s.average)
	*report = paceReport{pace: float64(pace), at: at}
}

func (s *paceStatistics) learnPair(earlier, later float64, lag time.Duration) {
	class, limit := 0, firstPaceLag
	for lag > limit {
		class, limit = class+1, 2*limit
	}
	if class >= paceLags {
		return
	}
	sums := &s.lags[class]
	sums.squares += earlier * earlier
	sums.products += earlier * later
	sums.lag += earlier * earlier * lag.Seconds()
	if s.pairs++; s.pairs%pacePairsPerFit == 0 {
		s.halfLife = s.fit()
		for n := range s.lags {
			weight := math.Exp2(-float64(pacePairsPerFit) / pacePairMemory)
			s.lags[n] = paceLag{squares: s.lags[n].squares * weight, products: s.lags[n].products * weight, lag: s.lags[n].lag * weight}
		}
	}
}

// fit returns the half-life that predicts the later of two reports with the least squared error.
func (s *paceStatistics) fit() time.Duration {
	best, bestError := s.halfLife, math.Inf(1)
	for step := range paceHalfLifeSteps {
		ratio := float64(step) / (paceHalfLifeSteps - 1)
		halfLife := time.Duration(float64(minPaceHalfLife) * math.Pow(maxPaceHalfLife.Seconds()/minPaceHalfLife.Seconds(), ratio))
		total := 0.0
		for _, sums := range s.lags {
			if sums.squares > 0 {
				remaining := decay(time.Duration(sums.lag/sums.squares*float64(time.Second)), halfLife)
				total += remaining*remaining*sums.squares - 2*remaining*sums.products
			}
		}
		if total < bestError {
			best, bestError = halfLife, total
		}
	}
	return best
}

// factor returns the expected duration of work at a target relative to the average; 1 if the target has reported no pace.
func (s *paceStatistics) factor(report paceReport, now time.Time) float64 {
	if report.pace == 0 {
		return 1
	}
	return 1 + (report.pace/s.average-1)*decay(now.Sub(report.at), s.halfLife)
}
