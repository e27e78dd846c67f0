package extproc

import (
	"fmt"
	"testing"

	"appleledge/internal/engine"
	"appleledge/internal/golden"
)

// Statuses and texts of final answers to a proxy, the names under which it tells who served, and the reasons that prove that nothing was sent.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, kind := range []engine.AnswerKind{engine.Served, engine.Rejected, engine.Failed, engine.Conflict} {
		out = fmt.Appendf(out, "answer %d %d %s\n", i, answerStatuses[kind], answerTexts[kind])
	}
	out = fmt.Appendf(out, "never sent %q\nmetadata %q %q\n", notSentReasons, MetadataNamespace, ServedHeader)
	golden.Equal(t, "texts/extproc.txt", out)
}
