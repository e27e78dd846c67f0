// Package ballsbins plays the game on which the decisions rest: balls into bins of different sizes, by Algorithm 1 of
// "Balls into non-uniform bins" (Berenbrink, Brinkmann, Friedetzky and Nagel, 2014). It draws as the module does, with
// package weighted, and shows the greatest load beside the paper's bound and beside a random choice.
package ballsbins

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"appleledge/internal/balancer/weighted"
)

// Game is one game: as many balls as the bins have capacity in all.
type Game struct {
	Bins  int
	Draws int // for each ball; 1 is a random choice
	Most  int // capacities are drawn evenly from 1 to this
	Seed  uint64
}

type bin struct {
	weighted.Member[*bin]
	balls, capacity float64
}

// Play returns the greatest load of a bin over the average, where a load is balls over capacity.
func (g Game) Play() float64 {
	rng := rand.New(rand.NewPCG(g.Seed, uint64(g.Bins)))
	pool, bins, total := weighted.NewPool[*bin](false), make([]bin, g.Bins), 0.0
	for i := range bins {
		b := &bins[i]
		b.Value, b.capacity = b, float64(1+rng.IntN(g.Most))
		b.DrawWeight.Slope = b.capacity
		pool.Put(&b.Member, 1)
		total += b.capacity
	}
	d, drawn := pool.At(1), make([]*bin, g.Draws)
	greatest := 0.0
	for range int(total) {
		d.Fill(rng, drawn)
		b := choose(drawn)
		b.balls++
		greatest = max(greatest, b.balls/b.capacity)
	}
	return greatest // the average is one
}

// choose takes the lowest load after the ball, ties to the larger bin.
func choose(drawn []*bin) (best *bin) {
	for _, b := range drawn {
		if best == nil || b.after() < best.after() || b.after() == best.after() && b.capacity > best.capacity {
			best = b
		}
	}
	return best
}

func (b *bin) after() float64 { return (b.balls + 1) / b.capacity }

// Bound is the paper's bound on the greatest load for two draws and more, but for its constant: ln ln n / ln d.
func Bound(bins, draws int) float64 {
	return math.Log(math.Log(float64(bins))) / math.Log(float64(draws))
}

// Point is a game's result.
type Point struct {
	Game
	Greatest float64 // of several games
}

// Series plays games of growing size, several of each, and calls done after each size.
func Series(draws int, sizes []int, games int, done func(Point)) (out []Point) {
	for _, n := range sizes {
		p := Point{Game: Game{Bins: n, Draws: draws, Most: 10}}
		for seed := range games {
			g := p.Game
			g.Seed = uint64(seed)
			p.Greatest = max(p.Greatest, g.Play())
		}
		out = append(out, p)
		done(p)
	}
	return out
}

// The picture's sizes, in pixels.
const (
	width, height         = 760, 420
	left, right, top, low = 60, 170, 30, 50
)

// Picture draws series, one for a number of draws, as SVG: the greatest load by the number of bins, with the paper's bound
// (dashed) for two draws and more.
func Picture(out io.Writer, constant float64, series ...[]Point) error {
	most, first, last := 0.0, math.Inf(1), 0.0
	for _, s := range series {
		for _, p := range s {
			most, first, last = max(most, p.Greatest), min(first, float64(p.Bins)), max(last, float64(p.Bins))
		}
	}
	x := func(bins float64) float64 {
		return left + (width-left-right)*math.Log(bins/first)/math.Log(last/first)
	}
	y := func(load float64) float64 { return height - low - (height-top-low)*load/math.Ceil(most) }
	w := &writer{out: out}
	w.print(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="13">`+"\n", width, height)
	w.print(`<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	w.print(`<text x="%d" y="18">Greatest load over the average, as many balls as capacity</text>`+"\n", left)
	for load := 0; load <= int(math.Ceil(most)); load++ {
		w.print(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%d</text>`+"\n",
			left, width-right, y(float64(load)), y(float64(load)), left-8, y(float64(load))+4, load)
	}
	for bins := first; bins <= last*1.01; bins *= 10 {
		w.print(`<text x="%.1f" y="%d" text-anchor="middle">%.0f</text>`+"\n", x(bins), height-low+20, bins)
	}
	w.print(`<text x="%d" y="%d" text-anchor="middle">bins</text>`+"\n", (left+width-right)/2, height-10)
	colours := []string{"#c0392b", "#2471a3", "#1e8449", "#7d3c98"}
	for i, s := range series {
		colour, draws := colours[i%len(colours)], s[0].Draws
		line, bound := "", ""
		for _, p := range s {
			line += fmt.Sprintf("%.1f,%.1f ", x(float64(p.Bins)), y(p.Greatest))
			bound += fmt.Sprintf("%.1f,%.1f ", x(float64(p.Bins)), y(Bound(p.Bins, max(2, draws))+constant))
		}
		name := fmt.Sprintf("%d draws", draws)
		if draws == 1 {
			name = "random choice"
		} else {
			w.print(`<polyline points="%s" fill="none" stroke="%s" stroke-dasharray="4 4"/>`+"\n", bound, colour)
		}
		w.print(`<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", line, colour)
		w.print(`<text x="%d" y="%.1f" fill="%s">%s</text>`+"\n", width-right+8, y(s[len(s)-1].Greatest)+4, colour, name)
	}
	w.print(`<text x="%d" y="%d" fill="#555">dashed: ln ln n / ln d + %.2g</text>`+"\n", width-right-190, height-low-8, constant)
	w.print("</svg>\n")
	return w.err
}

// writer keeps the first error.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) print(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}
