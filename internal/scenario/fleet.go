package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"appleledge/internal/emulator"
)

// machineKind is a type of machine, with the range of the speed of its cores.
type machineKind struct {
	name  string
	cores int
	speed [2]float64
	share float64 // of the fleet
}

// machineKinds are the types of the deployment.
var machineKinds = []machineKind{
	{"twin-core", 2, [2]float64{1.5, 2.1}, 0.56},
	{"quad-core", 4, [2]float64{0.77, 1}, 0.44},
}

// classes are the deployment's, as form servers see them.
var classes = []emulator.Class{
	{Name: "form-check", Work: [2]time.Duration{54 * time.Millisecond, 98 * time.Millisecond},
		Wait: [2]time.Duration{96 * time.Millisecond, 180 * time.Millisecond}},
	{Name: "refund-record", Work: [2]time.Duration{61 * time.Millisecond, 110 * time.Millisecond},
		Wait: [2]time.Duration{110 * time.Millisecond, 200 * time.Millisecond}},
}

// refundPoints are the tenants and their shares of the traffic.
var refundPoints = []struct {
	name  string
	share float64
}{{"edinburgh-airport", 0.27}, {"glasgow-airport", 0.18}, {"aberdeen-airport", 0.12}, {"rosyth-port", 0.11},
	{"inverness-airport", 0.09}, {"prestwick-airport", 0.08}, {"lerwick-port", 0.08}, {"stranraer-port", 0.07}}

const (
	defaultWindow    = 2 * time.Second // in which a pod drops repeats
	latencyObjective = 600 * time.Millisecond
	deadline         = 2 * time.Second
	podSize          = 3 // form servers of a pod
	idleClose        = 15 * time.Second
)

// drawSpec draws the specification of a machine of the kind.
func (k machineKind) drawSpec(random *rand.Rand) emulator.Spec {
	between := func(from, to float64) float64 { return from + random.Float64()*(to-from) }
	span := func(from, to time.Duration) time.Duration { return time.Duration(between(float64(from), float64(to))) }
	return emulator.Spec{
		Cores: k.cores, Speed: between(k.speed[0], k.speed[1]), Slots: 6 * k.cores, Queue: 16 * k.cores,
		CrowdingPenalty: 0.05, CrowdingStart: 4,
		ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond, CollapseOverload: 3, CollapseTime: 3 * time.Second,
		KeyCacheGain: between(0.33, 0.58), KeyCacheTTL: span(3900*time.Millisecond, 11*time.Second), KeyCacheSize: 100 * k.cores,
		Handshake:      time.Millisecond,
		ReportInterval: span(44*time.Millisecond, 230*time.Millisecond), ReportDelay: 50 * time.Millisecond, ReportNoise: 0.05,
	}
}

// Fleet is an emulated fleet on loopback sockets, with its server list.
type Fleet struct {
	Servers   []*emulator.FormServer
	Discovery *emulator.Discovery
	Ledger    *emulator.Ledger
	kinds     []string
}

// NewFleet starts a warm fleet of so many form servers, drawn from the seed.
func NewFleet(servers int, seed uint64) (*Fleet, error) {
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Discovery: d, Ledger: emulator.NewLedger()}
	random := rand.New(rand.NewPCG(seed, 0))
	epoch := time.Now()
	var entries []emulator.Entry
	var pod *emulator.Pod
	for i := range servers {
		if i%podSize == 0 {
			pod = emulator.NewPod(i/podSize, defaultWindow, f.Ledger)
		}
		k := machineKinds[0]
		if float64(i)+0.5 >= machineKinds[0].share*float64(servers) {
			k = machineKinds[1]
		}
		name := serverName(i)
		model := emulator.NewServer(name, k.drawSpec(random), pod, random.Uint64(), 0, true)
		s, err := emulator.Listen(name, model, classes, seed, epoch, emulator.ListenOptions{IdleTimeout: idleClose, MaxConns: 400 * k.cores})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Servers, f.kinds = append(f.Servers, s), append(f.kinds, k.name)
		entries = append(entries, emulator.Entry{ID: name, Addr: s.Addr, Zone: zone, Kind: k.name, Cell: i / podSize,
			State: "Ready", Weight: 1})
	}
	d.Set(entries...)
	return f, nil
}

// serverName names the form servers that are there from the beginning.
func serverName(i int) string { return fmt.Sprintf("s-%02d", i+1) }

// Kinds counts the machines of each kind, in words.
func (f *Fleet) Kinds() string {
	n := map[string]int{}
	for _, k := range f.kinds {
		n[k]++
	}
	text := ""
	for i, k := range machineKinds {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", n[k.name], k.name)
	}
	return text
}

// Close ends the fleet.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Close()
	}
	f.Discovery.Close()
}

// zone is the name of the only availability zone.
const zone = "edinburgh-dc"

// configuration is the file of the platform that an agent would get: its number among those of the fleet, where the list is, and which servers
// drop repeats for how long.
func configuration(discovery, listen string, number int, seed uint64, fleet FleetSize) ([]byte, error) {
	type object = map[string]any
	var tenants []object
	for _, p := range refundPoints {
		tenants = append(tenants, object{"Name": p.name, "Portion": p.share})
	}
	class := func(name, effect, group string, worth float64, window time.Duration) object {
		return object{"Name": name, "Effect": effect, "Group": group, "Worth": worth, "WindowNs": window.Nanoseconds(),
			"AimNs": latencyObjective.Nanoseconds(), "DeadlineNs": deadline.Nanoseconds()}
	}
	return json.Marshal(object{
		"name": fmt.Sprint("n", number), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed+uint64(number)),
		"limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"settings": object{
			"Balancers": fleet.Agents, "Me": number, "TickNs": 5 * time.Millisecond, "WeightKind": "silent", "Discovery": "automatic",
			"Zones": []string{zone}, "Domain": object{"WarmKeys": true}, "OverShareWorth": 0.1, "Tenants": tenants,
			"Report": object{"Fields": []string{"util", "qps", "eps"}, "Via": "piggyback"},
			"Rules":  object{"ColdFrom": 0.32, "ColdNs": 8700 * time.Millisecond, "OverloadFactor": 3},
			"Ceilings": object{"ConnIdleNs": idleClose, "ConnectTimeoutNs": 250 * time.Millisecond, "MaxRetryAfterNs": time.Second,
				"MostHeld": 1000, "MostTries": 5, "ParallelTries": true, "RetryAfter": true},
			"Classes": []object{class("form-check", "repeatable", "all", 2, 0), class("refund-record", "by_key", fleet.platformGroup(), 10, fleet.dedupWindow())},
		},
	})
}
