package settings

import (
	"fmt"
	"io"
	"strings"
)

const referenceHead = "# The tuning file\n\n" +
	"Optional; `--tuning` or `" + TuningFileEnv + "` names it. TOML. This page is made by `elmspan reference`\n" +
	"from the code; a test compares them.\n\n" +
	"| setting | default | takes | what it does | when to change it |\n" +
	"| --- | --- | --- | --- | --- |\n"

// WriteReference writes docs/tuning.md, the page on all settings of the tuning file.
func WriteReference(w io.Writer) error {
	var page strings.Builder
	page.WriteString(referenceHead)
	readable := strings.NewReplacer(choiceSeparator, ", ", rangeSeparator, " to ")
	for _, d := range tunables {
		takes := readable.Replace(d.takes)
		if d.takes == takesAddress {
			takes = "address:port"
		}
		fmt.Fprintf(&page, "| `%s` | %q | %s | %s | %s |\n", d.name, d.defaultValue, takes, d.meaning, d.tradeOff)
	}
	_, err := io.WriteString(w, page.String())
	return err
}
