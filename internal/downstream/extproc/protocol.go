package extproc

// Names of the endpoint picker protocol.
const (
	DestinationHeader   = "x-gateway-destination-endpoint"        // request header and dynamic metadata: the chosen endpoint
	ServedHeader        = "x-gateway-destination-endpoint-served" // metadata or response header: the endpoint that served
	SubsetHintKey       = "x-gateway-destination-endpoint-subset" // filter metadata: the endpoints to choose among
	MetadataNamespace   = "envoy.lb"
	SubsetHintNamespace = "envoy.lb.subset_hint"
)

// The agent's own headers, set in the request that the proxy forwards.
const (
	// ValidForHeader says how long a decision may be used, from when it was made, in the form of X-Timeout.
	ValidForHeader = "x-appleledge-decision-valid"
	// UseByHeader says until when it may be used, in Unix milliseconds, for proxies that share the agent's clock.
	UseByHeader = "x-appleledge-decision-use-by"
)

const (
	envoyTimeoutHeader   = "X-Envoy-Expected-Rq-Timeout-Ms"
	envoyAttemptHeader   = "X-Envoy-Attempt-Count"
	codeDetailsAttribute = "response.code_details"
	loadHeader           = "X-Server-Load"
	notProcessedHeader   = "X-Not-Processed"

	// Sizes to allocate for what is read of a typical head; a larger one grows them.
	typicalValueCount  = 12
	typicalHeaderCount = 8

	maxAttemptCount = 1000 // largest accepted attempt count of a proxy
	maxLoggedBytes  = 100  // of a peer's text in a log line
)

// truncate shortens a peer's text for a log line.
func truncate(text string) string {
	if len(text) > maxLoggedBytes {
		return text[:maxLoggedBytes] + "..."
	}
	return text
}
