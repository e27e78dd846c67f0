package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keys are the names of what a configuration states, as paths. An entry of a list counts where all entries state it.
type statedKeys map[string]bool

// optional are names that the platform may leave out at any time.
var optionalKeys = []string{"known", "operator", "AimStretch", "PassesDeadline", "WarmKeys"}

// parseStatedKeys reads the names from a configuration's text.
func parseStatedKeys(data []byte) (statedKeys, error) {
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	k := statedKeys{}
	k.collect("", all)
	return k, nil
}

func (k statedKeys) collect(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, part := range v {
			if slices.Contains(optionalKeys, name) || part == nil {
				continue
			}
			k[path+name] = true
			k.collect(path+name+".", part)
		}
	case []any:
		var common statedKeys
		for _, entry := range v {
			of := statedKeys{}
			of.collect(path+"*.", entry)
			if common == nil {
				common = of
			}
			maps.DeleteFunc(common, func(name string, _ bool) bool { return !of[name] })
		}
		maps.Copy(k, common)
	}
}

// lacks says which of the names of another configuration are missing.
func (k statedKeys) checkStates(before statedKeys) error {
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
