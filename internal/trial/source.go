package trial

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"lavenderrill.dev/lavenderrill/internal/standin/relay"
)

// sourceOf returns the name of the node that owns a client address of a relay,
// or the IP address if no node of m does. Nodes send datagrams from their peer
// address. Their connections come from kernel-assigned ports, so the owner is
// found from the socket's inode. Relay is the address that the client connected
// to.
func (m *Mesh) sourceOf(client net.Addr, relay string) string {
	switch a := client.(type) {
	case *net.UDPAddr:
		for _, n := range m.Nodes {
			if n.Addrs().Peer == a.String() {
				return n.Name
			}
		}
		return a.IP.String()
	case *net.TCPAddr:
		if inode := socketInode(a, relay); inode != "" {
			for _, n := range m.Nodes {
				if p := n.Process(); p != nil && ownsSocket(p.PID(), inode) {
					return n.Name
				}
			}
		}
		return a.IP.String()
	}
	return client.String()
}

// socketInode returns the inode of the connected IPv4 TCP socket with the given
// local and remote addresses, or "". Both are needed, since the kernel lends one
// local port to connections with different remote addresses.
func socketInode(local *net.TCPAddr, remote string) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	to, err := net.ResolveTCPAddr("tcp4", remote)
	if err != nil {
		return ""
	}
	from, rem := kernelAddr(local), kernelAddr(to)
	const established = "01"
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == from && f[2] == rem && f[3] == established {
			return f[9]
		}
	}
	return ""
}

// kernelAddr returns a as the kernel prints it, with the IPv4 address as a
// little-endian number, or "" for other addresses.
func kernelAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})), a.Port)
}

func ownsSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	fds, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, fd := range fds {
		if l, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && l == want {
			return true
		}
	}
	return false
}

// Partition separates the nodes of each group from those of the other groups:
// bytes between them are held and datagrams are dropped. Faults set earlier on
// the relays are replaced. The mesh must have relays.
func (m *Mesh) Partition(groups ...[]*Node) error {
	for i, g := range groups {
		others := make(map[string]relay.Faults)
		for j, o := range groups {
			if i == j {
				continue
			}
			for _, n := range o {
				others[n.Name] = relay.Faults{Freeze: relay.Both}
			}
		}
		for _, n := range g {
			if err := n.Relay.SetPlan(relay.Plan{Sources: others}); err != nil {
				return err
			}
		}
	}
	return nil
}

// SetRelayFaults sets the same faults on the relays of all nodes, which also ends a
// partition.
func (m *Mesh) SetRelayFaults(f relay.Faults) error {
	for _, n := range m.Nodes {
		if err := n.Relay.SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}
