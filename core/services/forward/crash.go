package forward

import (
	"context"
	"strconv"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// maxFingerprintBody is the length of the part of a body that belongs to the fingerprint. At least that much of a body is
// buffered whenever it is longer.
const maxFingerprintBody = 64 << 10

// fingerprint identifies repetitions of the same request, which have different request IDs.
func (c *call) fingerprint() crash.Fingerprint {
	return crash.NewFingerprint(
		[]byte(c.Method), []byte(c.Host), []byte(c.URI), []byte(c.team.Name), c.Body[:min(len(c.Body), maxFingerprintBody)],
		strconv.AppendInt(nil, c.Length, 10),
	)
}

// checkForCrash checks in the background whether the target of an attempt that lost its connection has died.
func (f *Forwarder) checkForCrash(c *call, choice placement.Choice, err error) {
	if !target.IsConnectionLost(err) {
		return
	}
	fingerprint, id, t := c.fingerprint(), c.ID, choice.Target
	go func() {
		if !f.Pool.RefusesConnections(context.Background(), t.Address) {
			return
		}
		f.Meter.Count("medlarpond_target_crashes_total", "service", t.Service)
		f.Logger.Info("target died while it had the request", zap.String("request", id), zap.Stringer("fingerprint", fingerprint),
			zap.String(logging.FieldService, t.Service), zap.String(logging.FieldTarget, t.ID), zap.Int64("target-started", t.Started))
	}()
}
