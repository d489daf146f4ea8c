package e2e

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var kib int64
		if _, err := fmt.Sscanf(strings.TrimSpace(lines.Text()), "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	t.Fatal("no VmHWM line in the process status")
	return 0
}
