package identifier

import (
	"fmt"
	"net/netip"
)

// ParseAddress returns the IP:port in text in the one form in which addresses are compared.
// It returns an error if no other machine can be reached there.
func ParseAddress(text string) (string, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("want IP:port: got %.60q", text)
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return "", fmt.Errorf("nothing can be reached at %.60q", text)
	}
	return address.String(), nil
}
