// Package hostaddr checks addresses that other parties state.
package hostaddr

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Check returns an error unless text is the IP address of one host and a port.
func Check(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return eris.Wrap(err, "parse the address")
	}
	ip := address.Addr().Unmap()
	switch {
	case address.Port() == 0:
		return eris.Errorf("the address %s has no port", address)
	case ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast || ip.Zone() != "":
		return eris.Errorf("the address %s is not that of one host", address)
	}
	return nil
}
