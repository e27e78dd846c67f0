package scenario

import (
	"fmt"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
)

// waitReady waits until an agent answers that it is ready.
func waitReady(addr string) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for until := time.Now().Add(agentStartTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/ready"); err == nil {
			besteffort.Close(resp.Body)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("the agent at %s was not ready within %v", addr, agentStartTimeout)
}
