// The stand-ins and scenarios of the second independent review: store, upstreams, clients and
// the link between a machine and the store. Run from the root of the repository:
// standin SCENARIO DIR, where DIR gets record.txt. With TROUBLE=0 the disruption is left out.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario is one case. run returns whether the rule was broken.
type scenario struct {
	dir, temporary string
	trouble        bool
	recorder       *recorder
	gateways       []*gateway
	rolls          [2]roll
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO DIR")
		os.Exit(2)
	}
	run := map[string]func(*scenario) (bool, error){"late": late, "start": stopAtStart}[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2]))
}

func play(run func(*scenario) (bool, error), dir string) int {
	recorder, err := newRecorder(dir + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs of the gateways:", temporary)
	}
	s := &scenario{dir: dir, temporary: temporary, trouble: os.Getenv("TROUBLE") != "0", recorder: recorder}
	defer func() { stopGateways(s.gateways) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(s)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			s.say("could not run: %v", o.err)
			return 2
		case o.broken:
			s.say("the rule was broken")
			return 1
		}
		s.say("the rule held")
		return 0
	case <-signals:
		return 2
	}
}

// say writes a line to the record and to the output.
func (s *scenario) say(format string, args ...any) {
	s.recorder.note("======== "+format, args...)
	fmt.Printf(format+"\n", args...)
}
