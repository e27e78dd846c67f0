package balancer_test

import (
	"fmt"
	"time"

	"appleledge/internal/balancer"
)

func Example() {
	b, err := balancer.New(balancer.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes:     []balancer.Class{{Name: "read", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, Priority: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(time.Now().UnixNano()) // the wall clock, which all balancers share
	b.Start(now)
	b.Handle(now, balancer.ServerList{Full: true, Servers: []balancer.Server{{ID: "10.0.0.1:80"}}})
	for _, a := range b.Handle(now, balancer.Request{ID: "1", Deadline: now + time.Second}) {
		if a.Kind == balancer.Send {
			fmt.Println("send", a.Request, "to", a.Server)
		}
	}
	// Output: send 1 to 10.0.0.1:80
}
