package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keys are the names of what a configuration states, as paths. An entry of a list counts where all entries state it.
type keys map[string]bool

// optional are names that the platform may leave out at any time.
var optional = []string{"known", "operator", "AimStretch", "PassesDeadline", "WarmKeys"}

// keysOf reads the names from a configuration's text.
func keysOf(data []byte) (keys, error) {
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	k := keys{}
	k.walk("", all)
	return k, nil
}

func (k keys) walk(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, part := range v {
			if slices.Contains(optional, name) || part == nil {
				continue
			}
			k[path+name] = true
			k.walk(path+name+".", part)
		}
	case []any:
		var common keys
		for _, entry := range v {
			of := keys{}
			of.walk(path+"*.", entry)
			if common == nil {
				common = of
			}
			maps.DeleteFunc(common, func(name string, _ bool) bool { return !of[name] })
		}
		maps.Copy(k, common)
	}
}

// lacks says which of the names of another configuration are missing.
func (k keys) lacks(before keys) error {
	var missing []string
	for name := range before {
		if !k[name] {
			missing = append(missing, name)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return fmt.Errorf("it does not state %s", strings.Join(missing[:min(len(missing), 5)], ", "))
}
