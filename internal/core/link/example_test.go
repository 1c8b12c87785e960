package link_test

import (
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/link"
)

// A body whose receiver stops is sent before one that began earlier.
func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := link.New(link.Config{Rate: 1e6})
	calm, urgent := &link.Body{Length: 1e6}, &link.Body{Length: 5e5}
	for _, b := range []*link.Body{calm, urgent} {
		s.Add(b)
		s.Wait(b, b.Length)
	}
	s.LimitEnd(urgent, now.Add(time.Second))

	first, _ := s.Next(now)
	_, free := s.Next(now)
	second, _ := s.Next(free)
	fmt.Println(first == urgent, free.Sub(now), second == calm)
	// Output: true 450ms true
}
