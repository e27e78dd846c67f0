package logic_test

import (
	"fmt"
	"time"

	"appleledge/logic"
)

func Example() {
	b, err := logic.New(logic.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes:     []logic.Class{{Name: "read", Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(time.Now().UnixNano()) // the wall clock, which all balancers share
	b.Start(now)
	b.Handle(now, logic.ServerList{Full: true, Servers: []logic.Server{{ID: "10.0.0.1:80"}}})
	for _, a := range b.Handle(now, logic.Request{ID: "1", Deadline: now + time.Second}) {
		if a.Kind == logic.Send {
			fmt.Println("send", a.Request, "to", a.Server)
		}
	}
	// Output: send 1 to 10.0.0.1:80
}
