package bindinglog

import (
	"bytes"
	"fmt"
	"strings"
)

// fileMagic begins each file: its last digit is the version of the format. The boot id follows, padded to one length.
const fileMagic = "appleledge-ties 1 "

const headerSize = len(fileMagic) + 65

func (o Options) header() string { return fmt.Sprintf("%s%-64s\n", fileMagic, o.BootID) }

// parseHeader returns the boot id of a file. isComplete is false where the header is cut off, as in a file that was just being
// created when its process was killed, or is no header at all: nothing in such a file can be read.
func parseHeader(data []byte) (bootID string, isComplete bool, err error) {
	family := fileMagic[:len(fileMagic)-2]
	switch {
	case bytes.HasPrefix(data, []byte(family)) && len(data) > len(family) && data[len(family)] > fileMagic[len(family)]:
		return "", false, ErrNewerFormat
	case !bytes.HasPrefix(data, []byte(fileMagic)) || len(data) < headerSize:
		return "", false, nil
	}
	return strings.TrimSpace(string(data[len(fileMagic):headerSize])), true, nil
}
