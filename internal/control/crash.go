package control

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxReportedBodies bounds the bodies of one crash report.
const maxReportedBodies = 4096

// crash takes in the report that an upstream was lost. A repeated report changes nothing.
func (m *Machine) crash(c *controlapi.CrashReport) *controlapi.Result {
	if c.Upstream == "" || len(c.Upstream) > maxIDBytes || len(c.BodyHashes) > maxReportedBodies {
		return refuse(errkind.New(errkind.InvalidRequest, "crash report names no upstream or more than %d bodies", maxReportedBodies))
	}
	for _, hash := range c.BodyHashes {
		if hash == "" || len(hash) > maxIDBytes {
			return refuse(errkind.New(errkind.InvalidRequest, "crash report with a body hash of %d bytes", len(hash)))
		}
	}
	lost := controlapi.Instance{Upstream: c.Upstream, Incarnation: c.UpstreamIncarnation}
	m.bodies.RecordCrash(lost, c.BodyHashes, m.nowMS)
	return &controlapi.Result{}
}

// clearBody forgets the crashes of a body on an operator's word.
func (m *Machine) clearBody(c *controlapi.ClearBodyRequest) *controlapi.Result {
	m.bodies.Clear(c.BodyHash)
	return &controlapi.Result{}
}
