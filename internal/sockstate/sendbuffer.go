package sockstate

import (
	"os"
	"strconv"
	"strings"
	"sync"
)

const (
	sendBufferFile = "/proc/sys/net/ipv4/tcp_wmem" // three numbers, the last of them the limit in bytes

	// defaultMaxSendBuffer is Linux' own limit, in bytes.
	defaultMaxSendBuffer = 4 << 20
)

// MaxSendBuffer returns how many bytes a process of this machine may have written to a TCP connection that the other side's socket has not
// got yet.
var MaxSendBuffer = sync.OnceValue(func() int {
	text, err := os.ReadFile(sendBufferFile)
	if err != nil {
		return defaultMaxSendBuffer
	}
	return parseMaxSendBuffer(string(text))
})

// parseMaxSendBuffer reads the limit; it never returns less than the default.
func parseMaxSendBuffer(text string) int {
	numbers := strings.Fields(text)
	if len(numbers) == 0 {
		return defaultMaxSendBuffer
	}
	limit, err := strconv.Atoi(numbers[len(numbers)-1])
	if err != nil {
		return defaultMaxSendBuffer
	}
	return max(limit, defaultMaxSendBuffer)
}
