package wire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"appleledge/logic"
)

// AppendAction appends the line of an instance's action.
func AppendAction(out []byte, instance string, a logic.Action) []byte {
	switch a.Kind {
	case logic.Send:
		out = request(out, "Send", instance, a)
		out = str(out, `,"Backend":`, a.Server)
		if a.After > 0 {
			out = num(out, `,"TryForNs":`, uint64(a.After))
		}
	case logic.Cancel:
		out = request(out, "Cancel", instance, a)
		out = num(out, `,"RoundNo":`, uint64(a.Attempt))
	case logic.Refuse:
		out = request(out, "Shed", instance, a)
		if a.After > 0 {
			out = num(out, `,"ComeBackNs":`, uint64(a.After))
		}
	case logic.Fail:
		out = request(out, "FinishError", instance, a)
	case logic.SetTimer:
		out = num(begin(out, "Schedule", instance), `,"Handle":`, a.Token)
		out = num(out, `,"FromNowNs":`, uint64(max(a.After, 0)))
	case logic.Probe:
		out = str(begin(out, "Poll", instance), `,"Backend":`, a.Server)
	case logic.Subscribe:
		out = append(begin(out, "Listen", instance), `,"On":true`...)
	case logic.Tell:
		out = append(begin(out, "Publish", instance), `,"Whom":"*","Blob":"`...)
		out = append(base64.StdEncoding.AppendEncode(out, a.Data), '"')
	}
	return append(out, "}\n"...)
}

// AppendYield appends the line that ends a reply.
func AppendYield(out []byte) []byte { return append(out, `{"type":"Yield"}`+"\n"...) }

func begin(out []byte, kind, instance string) []byte {
	out = append(out, `{"type":"`...)
	out = append(out, kind...)
	return str(out, `","I":`, instance)
}

func request(out []byte, kind, instance string, a logic.Action) []byte {
	return str(begin(out, kind, instance), `,"Tid":`, a.Request)
}

func num(out []byte, key string, n uint64) []byte {
	return strconv.AppendUint(append(out, key...), n, 10)
}

// str appends a string. Ids are plain text; anything else goes the long way round.
func str(out []byte, key, s string) []byte {
	out = append(out, key...)
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}
