package controlnode

import (
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// knownServices are the services of a document.
type knownServices struct {
	version uint64
	names   map[string]bool
}

// isService reports whether the document in force, as far as this host has applied the log, names a
// service. The caller holds n.mu.
func (n *Node) isService(name string) bool {
	m := n.machine.Load()
	if m == nil {
		return false
	}
	if d := m.Document(); d.Version != n.services.version {
		n.services = n.servicesOf(d)
	}
	return n.services.names[name]
}

// servicesOf returns the services of a document; none if it can't be decoded.
func (n *Node) servicesOf(d *fleetstate.Document) knownServices {
	services := knownServices{version: d.Version, names: map[string]bool{}}
	content, err := fleetstate.Decompress(d.Content)
	if err != nil {
		klog.ErrorS(err, "services not known: document not decompressed", "version", d.Version)
		return services
	}
	document, err := n.options.Decode(content)
	if err != nil {
		klog.ErrorS(err, "services not known: document not decoded", "version", d.Version)
		return services
	}
	for i := range document.Services {
		services.names[document.Services[i].Name] = true
	}
	return services
}
