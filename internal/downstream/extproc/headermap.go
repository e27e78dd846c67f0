package extproc

import (
	"net/http"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"appleledge/internal/downstream/requesthead"
)

// canonicalNames maps the headers that are read of requests and responses from HTTP/2's lower case to net/http's canonical
// names. All others are skipped.
var canonicalNames = func() map[string]string {
	names := map[string]string{}
	for _, name := range slices.Concat([]string{"Content-Length", "Transfer-Encoding", envoyTimeoutHeader, envoyAttemptHeader, loadHeader,
		notProcessedHeader, ServedHeader}, requesthead.CheckedHeaders, requesthead.RoutingHeaders) {
		names[strings.ToLower(name)] = http.CanonicalHeaderKey(name)
	}
	return names
}()

// parsedHead is what is read of a request's or response's head.
type parsedHead struct {
	method, path, status []string
	http.Header
}

// parseHead reads a header map. It keeps every value, so that duplicates are seen, in one array for all of them.
func parseHead(m *corev3.HeaderMap) (out parsedHead) {
	values := make([]string, 0, typicalValueCount)
	add := func(to []string, value string) []string {
		if to != nil {
			return append(to, value)
		}
		values = append(values, value)
		return values[len(values)-1 : len(values) : len(values)]
	}
	for _, v := range m.GetHeaders() {
		value := v.GetValue()
		if raw := v.GetRawValue(); len(raw) > 0 {
			value = string(raw)
		}
		switch key := v.GetKey(); key {
		case ":method":
			out.method = add(out.method, value)
		case ":path":
			out.path = add(out.path, value)
		case ":status":
			out.status = add(out.status, value)
		default:
			name, wanted := canonicalNames[key]
			if !wanted { // HTTP/2 allows no capitals in names, but a proxy need not mind
				if name, wanted = canonicalNames[strings.ToLower(key)]; !wanted {
					continue
				}
			}
			if out.Header == nil {
				out.Header = make(http.Header, typicalHeaderCount)
			}
			out.Header[name] = add(out.Header[name], value)
		}
	}
	return out
}

// singleValue returns the value of a header that must not be repeated.
func singleValue(values []string, name string) (value string, there bool, err error) {
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", true, badRequest("%s is there more than once", name)
}
