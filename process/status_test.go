package process

import (
	"encoding/json"
	"testing"
)

// The field names in /v1/Status must not change, because operators' scripts read them.
func TestStatusNames(t *testing.T) {
	status := processStatus{Name: "n", CoreOut: "a newer program", Peers: []string{"m 10.0.0.1:1 alive"}}
	got, err := json.Marshal(status)
	want := `{"Name":"n","CoreOut":"a newer program","Peers":["m 10.0.0.1:1 alive"]}`
	if err != nil || string(got) != want {
		t.Errorf("%s, %v, want %s", got, err, want)
	}
}
