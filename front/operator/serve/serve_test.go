package serve

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestServesAndStops starts each stand-in from its command line, reads its
// counts, and stops it.
func TestServesAndStops(t *testing.T) {
	tests := []struct {
		desc string
		args []string
		path string
	}{
		{"platform", []string{"platform"}, "/standin/counts"},
		{"endpoint", []string{"endpoint", "--name", "ledger-1", "--version", "v2"}, "/counts"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			address := freeAddress(t)
			command := Command()
			command.SetArgs(append(tt.args, "--listen", address))
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- command.ExecuteContext(ctx) }()
			for {
				resp, err := http.Get("http://" + address + tt.path)
				if err == nil {
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						t.Fatalf("status %d", resp.StatusCode)
					}
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Fatal(err)
			}
		})
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
