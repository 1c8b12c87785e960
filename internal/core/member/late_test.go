package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAckOfEarlierProcess guards against a member that fails unnoticed since late
// acknowledgements of probes by the process before count for those of this one.
func TestAckOfEarlierProcess(t *testing.T) {
	w := newNetwork(1, 2)
	acks := make(map[uint64]Message)
	w.onSend = func(m Message) {
		if m.Kind == Ack && m.From == "n001" {
			m.Updates = nil
			acks[m.Sequence] = m
		}
	}
	w.run(60 * time.Second)
	require.NotEmpty(t, acks)

	self := w.lists[0].Self()
	self.Incarnation = 0
	w.lists[0] = New(Config{Self: self, Rand: rand.New(rand.NewPCG(2, 2))}, w.now)
	w.sync(0, 1)
	w.stop[1] = true
	late := 0
	w.onSend = func(m Message) {
		if a, ok := acks[m.Sequence]; ok && m.Kind == Probe && m.From == self.ID {
			late++
			w.lists[0].Receive(w.now, "a001", a)
		}
	}
	w.run(20 * time.Second)
	require.Equal(t, Dead.String(), w.statusOf(0, "n001"), "%d late acknowledgements", late)
}

// TestLateAck guards against a member that fails unnoticed since late or repeated
// acknowledgements of earlier probes, its own or relayed ones, count for the last probe.
func TestLateAck(t *testing.T) {
	w := newNetwork(1, 3)
	var acks []Message
	w.onSend = func(m Message) {
		if m.Kind == Ack && m.Target == "n002" {
			m.Updates = nil
			acks = append(acks, m)
		}
	}
	w.run(60 * time.Second)
	require.NotEmpty(t, acks)
	w.stop[2] = true
	w.onSend = func(m Message) {
		if m.Kind != Probe && m.Kind != Relay {
			return
		}
		for _, a := range acks[len(acks)-10:] {
			for _, l := range w.lists[:2] {
				l.Receive(w.now, "a002", a)
			}
		}
	}
	w.run(20 * time.Second)
	require.Equal(t, Dead.String(), w.statusOf(0, "n002"))
	require.Equal(t, Dead.String(), w.statusOf(1, "n002"))
}
