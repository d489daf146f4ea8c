package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// configurationMeasures measure the size and the decoding of a document.
func configurationMeasures() []Measure {
	endpoints := []int{50, 200, 800, 1100}
	return []Measure{
		{Name: "document.bytes", Unit: unitBytes, Size: "endpoints", Sizes: endpoints, CostAt: func(n int) (float64, error) {
			return float64(len(buildDocument(n))), nil
		}},
		{Name: "document.decode", Unit: unitNanos, Size: "endpoints", Sizes: endpoints, CostAt: decodeCost},
		{Name: "document.memory", Unit: unitBytes, Size: "endpoints", Sizes: endpoints, CostAt: documentMemory},
	}
}

// buildDocument returns a document with n endpoints in 22 failure domains.
func buildDocument(n int) []byte {
	const regions, domains = 10, 22
	var b strings.Builder
	b.WriteString("environment: design\nteams:\n  - {name: ward-01, rate: 40/s, burst: 120}\nregions:\n")
	for r := range regions {
		fmt.Fprintf(&b, "  - name: region-%d\n    failureDomains:\n", r)
		for d := r; d < domains; d += regions {
			fmt.Fprintf(&b, "      - domain-%d\n", d)
		}
	}
	b.WriteString("services:\n  - name: tracker\n    serving: v1\n    versions:\n      - name: v1\n        endpoints:\n")
	for e := range n {
		fmt.Fprintf(&b, "          - {address: \"127.1.%d.%d:9001\", failureDomain: domain-%d, slots: 3}\n", e/250, e%250, e%domains)
	}
	b.WriteString("routes:\n  - {name: read, path: /tracker/, methods: [GET], service: tracker}\n")
	return []byte(b.String())
}

func decodeCost(n int) (float64, error) {
	content := buildDocument(n)
	if _, err := document.Decode("design.yaml", content); err != nil {
		return 0, err
	}
	return nanosPerCall(func() {
		doc, _ := document.Decode("design.yaml", content)
		document.Compile(doc)
	})
}

func documentMemory(n int) (float64, error) {
	content := buildDocument(n)
	var decodeErr error
	bytes := heapBytes(func() any {
		doc, err := document.Decode("design.yaml", content)
		if err != nil {
			decodeErr = err
			return nil
		}
		return document.Compile(doc)
	})
	return bytes, decodeErr
}

// peerMeasures measure calls between instances.
func peerMeasures() []Measure {
	return []Measure{
		{Name: "peer.call", Unit: unitNanos, Size: "bytes of the message", Sizes: []int{100, 1000, 4000, 16000}, CostAt: callCost},
	}
}

// callCost returns the cost of one call, at client and server together.
func callCost(n int) (float64, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := peer.NewServer(nil, log)
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return len(params), nil })
	listener, err := server.Listen("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, listener) }()
	client := peer.NewClient(nil, time.Second)
	defer client.Close()
	message := strings.Repeat("m", n)
	if err := client.Call(ctx, listener.Addr().String(), "echo", message, nil); err != nil {
		return 0, err
	}
	return nanosPerCall(func() {
		_ = client.Call(ctx, listener.Addr().String(), "echo", message, nil)
	})
}
