package control

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxBodiesPerReport is the maximum number of bodies in a crash report.
const maxBodiesPerReport = 4096

// recordCrash records the crash of an upstream instance. It is idempotent.
func (m *Machine) recordCrash(c *controlapi.CrashReport) *controlapi.Result {
	if c.Upstream == "" || len(c.Upstream) > maxIDBytes || len(c.BodyHashes) > maxBodiesPerReport {
		return refuse(errkind.New(errkind.InvalidRequest, "crash report has no valid upstream id or more than %d bodies", maxBodiesPerReport))
	}
	for _, hash := range c.BodyHashes {
		if hash == "" || len(hash) > maxIDBytes {
			return refuse(errkind.New(errkind.InvalidRequest, "crash report has a body hash of %d bytes", len(hash)))
		}
	}
	crashed := controlapi.Instance{Upstream: c.Upstream, Incarnation: c.UpstreamIncarnation}
	m.containment.RecordCrash(crashed, c.BodyHashes, m.nowMS)
	return &controlapi.Result{}
}

// clearBody deletes the recorded crashes of a body at an operator's request.
func (m *Machine) clearBody(c *controlapi.ClearBodyRequest) *controlapi.Result {
	m.containment.Clear(c.BodyHash)
	return &controlapi.Result{}
}
