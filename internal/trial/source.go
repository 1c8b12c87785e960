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

// sourceName returns the name of the node that owns the address of a client of
// the given relay, or the IP address if no node of m owns it. Nodes send
// datagrams from their peer address. Their connections use ephemeral ports, so
// the owner is found by the inode of the socket.
func (m *Mesh) sourceName(client net.Addr, relay string) string {
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
// local and remote addresses, or "". Both are needed because the kernel can use
// one local port for connections to different remote addresses.
func socketInode(local *net.TCPAddr, remote string) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	remoteAddr, err := net.ResolveTCPAddr("tcp4", remote)
	if err != nil {
		return ""
	}
	localHex, remoteHex := kernelAddr(local), kernelAddr(remoteAddr)
	const established = "01"
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == localHex && f[2] == remoteHex && f[3] == established {
			return f[9]
		}
	}
	return ""
}

// kernelAddr formats a as in /proc/net/tcp, with the IPv4 address in
// little-endian hexadecimal. It returns "" for other addresses.
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

// Partition separates the groups of nodes from each other: stream bytes between
// groups are held and datagrams are dropped. It replaces earlier faults of the
// relays. The mesh must have relays.
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

// SetRelayFaults sets the same faults on the relays of all nodes. It also ends a
// partition.
func (m *Mesh) SetRelayFaults(f relay.Faults) error {
	for _, n := range m.Nodes {
		if err := n.Relay.SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}
