package platform

import (
	"errors"
	"net/netip"
)

var (
	errAddress = errors.New("address is not that of one host")
	// broadcast is the address of all hosts of a network.
	broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
)

// ParseAddress parses the IP address and port of one host. It returns an error for a name,
// for port 0, for the unspecified address, which is this host, for an address of several
// hosts, and for one with a zone, which may hold any text. An IPv4 address that is written
// as an IPv6 address is returned as the former.
func ParseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip := a.Addr().Unmap()
	if a.Port() == 0 || a.Addr().Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return netip.AddrPort{}, errAddress
	}
	return netip.AddrPortFrom(ip, a.Port()), nil
}
