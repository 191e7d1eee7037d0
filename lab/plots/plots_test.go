package plots

import (
	"bytes"
	"strings"
	"testing"
)

// A page holds its table and a drawing of each chart, and escapes what it is given.
func TestPage(t *testing.T) {
	withSpread := Line{"one", []Point{{10, 1, 0.5, 2}, {100, 2, 1, 3}, {0, 1, 1, 1}}}
	p := Page{
		Title: "a <b>",
		Head:  []string{"policy", "served"},
		Rows:  [][]string{{"one", "0.99"}},
		Charts: []Chart{
			{Title: "spread", X: "limiters", Y: "words", LogX: true, Lines: []Line{withSpread, {"none", nil}}},
			{Title: "flat", Lines: []Line{{"two", []Point{{1, 1, 1, 1}, {2, 1, 1, 1}}}}},
		},
	}
	var b bytes.Buffer
	if err := p.Write(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a &lt;b&gt;", "<td>0.99</td>", "spread", "limiters"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not on the page", want)
		}
	}
	if n := strings.Count(b.String(), "<svg"); n != 2 {
		t.Errorf("%d drawings", n)
	}
}
