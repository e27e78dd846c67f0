package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const (
	disturbedAnswers = 24
	disturbedLasts   = 1200 * time.Millisecond // at most from the head to the last lump: less than a drain
	reloadInterval   = 50 * time.Millisecond
	upgradeInterval  = time.Second
	readyLine        = `msg="ready to serve"` // of an agent's log
)

// Long answers in lumps are not cut off either while the agent reads its configuration again and again, nor by an upgrade: the process that
// is told to end goes on with those that end within the time of its drain.
func TestLongAnswerInLumpsOutlastsReloadsAndUpgrades(t *testing.T) {
	for name, disturb := range map[string]func(*testing.T, *limitedAgent){"reloads": reloadOnce, "upgrades": upgradeOnce} {
		t.Run(name, func(t *testing.T) {
			server := newLumpServer()
			agent := server.startAgent(t)
			answers := drawLumpedAnswers(seedOfRun(t), disturbedAnswers)
			for i := range answers {
				answers[i].lasts = min(answers[i].lasts, disturbedLasts)
			}
			played := make(chan struct{})
			go func() {
				defer close(played)
				server.playAll(t, agent, answers)
			}()
			for isPlaying := true; isPlaying; {
				disturb(t, agent)
				select {
				case <-played:
					isPlaying = false
				default:
				}
			}
			besteffort.Ignore(agent.process.Signal(syscall.SIGTERM))
		})
	}
}

// reloadOnce has the agent read its configuration.
func reloadOnce(_ *testing.T, agent *limitedAgent) {
	besteffort.Ignore(agent.process.Signal(syscall.SIGHUP))
	time.Sleep(reloadInterval)
}

// upgradeOnce starts a process beside the one that runs, and ends that one when the other is ready.
func upgradeOnce(t *testing.T, agent *limitedAgent) {
	t.Helper()
	old, wasReady := agent.process, strings.Count(agent.log.String(), readyLine)
	agent.start()
	agenttest.Eventually(t, "the other process is ready", func() bool { return strings.Count(agent.log.String(), readyLine) > wasReady })
	besteffort.Ignore(old.Signal(syscall.SIGTERM))
	time.Sleep(upgradeInterval)
}
