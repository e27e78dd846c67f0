package agent

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/plan"
)

// What the agent's own settings switch on knows of classes that come while it runs, as of those of the start: like requests are
// joined, storms are watched for, and a configuration may name the class.
func TestSectionsKnowOfNewClasses(t *testing.T) {
	b := newGate(t, "")
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	with := joinAll(false)
	with.Admission = &AdmissionOptions{MaxRemembered: 100, LogInterval: time.Hour}
	socket := filepath.Join(t.TempDir(), "s")
	with.Generations = &GenerationOptions{Socket: socket}
	a := startReloadingFor(t, d.Addr().String(), "", with)
	client := admin.NewClient(socket)
	limited := &fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", Class: "refund-status", MaxInFlight: new(int), RetryAfter: fleetconfig.Duration(200 * time.Millisecond)}}}
	limited.Normalize()
	apply := func() error {
		p := &plan.Plan{}
		if err := client.Call(t.Context(), http.MethodPost, admin.PathPlan, admin.PlanRequest{Config: limited, MaxCapacityTaken: 1}, p); err != nil {
			return err
		}
		return client.Call(t.Context(), http.MethodPost, admin.PathApply, admin.ApplyRequest{Plan: p, Actor: "test"}, &admin.ChangeResult{})
	}
	if err := apply(); err == nil || !strings.Contains(err.Error(), "refund-status") {
		t.Errorf("a configuration with a class that is not there yet: %v", err)
	}

	old := `"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"by_key","Group":"cell","Name":"refund-record","WindowNs":2000000000`
	status := `"AimNs":60000000000,"DeadlineNs":90000000000,"Effect":"repeatable","Group":"all","Name":"refund-status"` // nobody is late
	text := strings.Replace(string(configText(d.Addr().String(), "null")), old, status, 1)
	if !strings.Contains(text, status) {
		t.Fatal("the class is not in the configuration")
	}
	a.reload([]byte(text))
	eventually(t, "the class is there", func() bool { return a.log.Count(`classes="form-check pay refund-status"`) == 1 })

	replies := make(chan reply, 8)
	ask := func() {
		r := a.newRequest(t, http.MethodGet, "/refund-status/a", "")
		r.Header.Set("X-Timeout", "20000m")
		replies <- send(t, r)
	}
	go ask()
	eventually(t, "one is at the server", func() bool { return b.Requests() == 1 })
	for range 7 {
		go ask()
	}
	time.Sleep(50 * time.Millisecond) // others would be there by then
	close(b.open)
	for range 8 {
		if got := <-replies; got.status != http.StatusOK || got.body != "answer 1" {
			t.Errorf("%+v", got)
		}
	}
	if n := b.Requests(); n != 1 {
		t.Errorf("%d requests for 8 that are alike", n)
	}
	if err := apply(); err != nil {
		t.Fatal(err)
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/refund-status/b", "")); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("over the new class' limit: %+v", got)
	}
	for i := range 5 { // the others are not concerned
		if got := send(t, a.newRequest(t, http.MethodGet, fmt.Sprint("/form-check/", i), "")); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}

	a.reload(configText(d.Addr().String(), "null")) // and goes again, with a configuration that names it
	eventually(t, "the class is dropped", func() bool { return a.log.Count(`classes="form-check refund-record pay"`) == 1 })
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check/c", "")); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
}
