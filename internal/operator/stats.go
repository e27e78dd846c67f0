package operator

import (
	"fmt"
	"strings"

	"appleledge/internal/engine"
)

// Stats are the statistics of GET /ops/stats.
type Stats struct {
	Counters              engine.Counters
	Endpoints             engine.EndpointCounts
	Reloads, ReloadErrors uint64 // configurations applied and rejected
}

// String returns the statistics as lines of the form name=value.
func (f Stats) String() string {
	var b strings.Builder
	for class, name := range f.Counters.Classes {
		for _, o := range outcomeNames {
			var n uint64
			for _, kind := range o.kinds {
				n += f.Counters.Answers[class][kind]
			}
			fmt.Fprintf(&b, "svc.downstream_requests.%s.%s=%d\n", name, o.name, n)
		}
	}
	fmt.Fprintf(&b, "svc.upstream_requests=%d\nsvc.pending=%d\nsvc.members=%d\nsvc.members_unavailable=%d\n"+
		"svc.config_reloads=%d\nsvc.config_reload_errors=%d\n", f.Counters.Written, f.Counters.Open, f.Endpoints.Listed, f.Endpoints.Avoided,
		f.Reloads, f.ReloadErrors)
	return b.String()
}

// outcomeNames are the names that operators have for the kinds of answers. A conflict counts as failed, as it does for its
// client.
var outcomeNames = [...]struct {
	name  string
	kinds []engine.AnswerKind
}{
	{"completed", []engine.AnswerKind{engine.Served}},
	{"rejected", []engine.AnswerKind{engine.Rejected}},
	{"failed", []engine.AnswerKind{engine.Failed, engine.Conflict}},
}
