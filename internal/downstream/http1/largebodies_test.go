package http1

import "testing"

// Another process of the agent has its part of the budget, as far as it is free, and gives it back.
func TestBudgetIsShared(t *testing.T) {
	l := NewLargeBodies(4 * largeBodyMemory)
	free := func() (n int) {
		for l.budget.TryAcquire(largeBodyMemory) {
			n++
		}
		l.budget.Release(int64(n) * largeBodyMemory)
		return n
	}
	for _, step := range []struct {
		part float64
		want int
	}{{1, 4}, {0.5, 2}, {0.25, 1}, {0.5, 2}, {1, 4}} {
		if l.SetBudgetRatio(step.part); free() != step.want {
			t.Errorf("with a part of %v there is room for %d, want %d", step.part, free(), step.want)
		}
	}
	l.budget.TryAcquire(3 * largeBodyMemory)
	l.SetBudgetRatio(0.5)
	if free() != 0 || l.withheld != largeBodyMemory {
		t.Errorf("%d withheld, though three parts of four are in use", l.withheld)
	}
	l.budget.Release(3 * largeBodyMemory)
	if l.SetBudgetRatio(1); free() != 4 {
		t.Errorf("room for %d in the end", free())
	}
}
