package fleet

import "net/netip"

// Resolver returns how links find an instance: its name is the address of its machine, and address
// adds the port of the listener for instances.
func Resolver(address func(machine string) string) func(name string) (string, bool) {
	return func(name string) (string, bool) {
		if _, err := netip.ParseAddr(name); err != nil {
			return "", false
		}
		return address(name), true
	}
}
