package check

import (
	"fmt"
	"net/netip"
)

// Range returns an error unless v lies between 0 and limit. NaN does not.
func Range[T int | int64 | float64](field string, v, limit T) error {
	if v >= 0 && v <= limit {
		return nil
	}
	return fmt.Errorf("%s: %v is not between 0 and %v", field, v, limit)
}

// Addr returns an error unless addr is an IP address with a port from 1 to 65535.
func Addr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	if a.Port() == 0 {
		return fmt.Errorf("port of %q is 0", addr)
	}
	return nil
}
