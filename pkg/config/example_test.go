package config_test

import (
	"fmt"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const lendingConfig = `fleet: lending
ranks: [{name: urgent, target: 150ms, worth: 100, floor: 0.1}]
services: [{name: reservasi, slots: 20, connections: 110}]
---
template: branch
parameters: [{name: host, kind: string, required: true}, {name: rate, kind: int, default: 50}]
routes:
  - {name: reserve, host: "${host}", path: /reservations, methods: [POST], service: reservasi, rank: urgent, deadline: 2s, rate: "${rate}"}
---
account: solo
template: branch
parameters: {host: solo.example}
`

func compile(v mesh.Version, text string) *config.Snapshot {
	docs, err := config.ParseDocuments("lending.yaml", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	var m config.Manifest
	parts := make(map[mesh.Digest]config.Part)
	for _, d := range docs {
		m = m.With(config.Entry{Key: d.Key, Revision: 1, Part: d.Part.Digest()})
		parts[d.Part.Digest()] = d.Part
	}
	s, err := config.Compile(v, m, func(d mesh.Digest) (config.Part, bool) {
		p, ok := parts[d]
		return p, ok
	})
	if err != nil {
		panic(err)
	}
	return s
}

// Plan shows the changes that an edit makes before the edit is accepted.
func ExamplePlan() {
	before := compile(1, lendingConfig)
	after := compile(2, strings.Replace(lendingConfig, "solo.example", "solo.example, rate: 80", 1)+
		"---\naccount: tegal\ntemplate: branch\nparameters: {host: tegal.example}\n")
	fmt.Print(config.Plan(before, after))
	// Output:
	// ~ account solo
	//     ~ route reserve
	//         rate: 50 -> 80
	// + account tegal
	//     + route reserve
	//         host: tegal.example
	//         path: /reservations
	//         methods: POST
	//         service: reservasi
	//         rank: urgent
	//         idempotent: false
	//         deadline: 2s
	//         rate: 50
	//         attempts: 1
	//         hedge: 0s
	//         claim: false
}
