package settings

import (
	"fmt"
	"io"
	"strings"
)

const referenceHead = "# The tuning file\n\n" +
	"Optional; `--tuning` or `" + TuningFileEnv + "` gives its path. TOML. This page is generated from the code by\n" +
	"`elmspan reference`; a test compares them.\n\n" +
	"| setting | default | values | what it does | when to change it |\n" +
	"| --- | --- | --- | --- | --- |\n"

// WriteReference writes docs/tuning.md, the reference of all settings of the tuning file.
func WriteReference(w io.Writer) error {
	var page strings.Builder
	page.WriteString(referenceHead)
	readable := strings.NewReplacer(choiceSeparator, ", ", rangeSeparator, " to ")
	for _, d := range tunables {
		allowed := readable.Replace(d.allowed)
		if d.allowed == allowAddress {
			allowed = "address:port"
		}
		fmt.Fprintf(&page, "| `%s` | %q | %s | %s | %s |\n", d.name, d.defaultValue, allowed, d.meaning, d.tradeOff)
	}
	_, err := io.WriteString(w, page.String())
	return err
}
