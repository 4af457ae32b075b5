package placement

import (
	"maps"
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// objectsWindow is the time in which objects are counted.
	objectsWindow = 10 * time.Second
	// maxCountedObjects bounds the objects that are counted for each service.
	maxCountedObjects = 4096
	// initialObjects is the number of objects that is assumed for the first objectsWindow.
	initialObjects = 40
	// objectsMargin is the fraction by which the number of objects must be beyond the value at which the scope changes. Each
	// change moves objects to targets on which they are cold.
	objectsMargin = 0.25
	// scopeCheckInterval is the time between two decisions about the scope.
	scopeCheckInterval = time.Second
)

// objectCounter counts the distinct objects of a service that the callers of this instance and of its neighbors use.
type objectCounter struct {
	// since is when counting began; seen maps the hash of each object to the time of its latest request.
	since time.Time
	seen  map[uint64]time.Time
}

func (c *objectCounter) add(object string, now time.Time) {
	hash := hashString(object)
	if _, ok := c.seen[hash]; !ok && len(c.seen) >= maxCountedObjects {
		return
	}
	c.seen[hash] = now
}

// count returns the number of objects in the last objectsWindow, or initialObjects if the window has not passed yet or nothing
// was requested in it.
func (c *objectCounter) count(now time.Time) int {
	maps.DeleteFunc(c.seen, func(_ uint64, at time.Time) bool { return now.Sub(at) > objectsWindow })
	if len(c.seen) == 0 || now.Sub(c.since) < objectsWindow {
		return initialObjects
	}
	return len(c.seen)
}

// recordObject counts an object of a service that a request concerns.
func (l *LoadTracker) recordObject(service, object string, now time.Time) {
	if service == "" || object == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objectsOf(service, now).add(object, now)
}

// countObjects returns the number of objects of a service that callers use.
func (l *LoadTracker) countObjects(service string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.objectsOf(service, now).count(now)
}

func (l *LoadTracker) objectsOf(service string, now time.Time) *objectCounter {
	c, ok := l.objects[service]
	if !ok {
		c = &objectCounter{since: now, seen: map[uint64]time.Time{}}
		l.objects[service] = c
	}
	return c
}

// scopeFor returns the scope for a number of objects that was counted. Load pattern: a number of objects that varies around the
// value at which the scope changes. current is the scope in force, or nil if there is none.
func scopeFor(c capacity, origins []roster.Place, objects int, current *affinityScope) affinityScope {
	if current == nil {
		return chooseScope(c, origins, objects)
	}
	fewer := chooseScope(c, origins, int(float64(objects)*(1-objectsMargin)))
	more := chooseScope(c, origins, int(float64(objects)*(1+objectsMargin)))
	if fewer != more {
		return *current
	}
	return fewer
}
