// Command reviewstand runs one case of the review: it starts the store, workers and clients as stand-ins and the
// project's own programs as processes, and exits with 1 if a rule was broken, 0 if none was, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const longest = 115 * time.Second

func lockThread() { runtime.LockOSThread() }

var cases = map[string]struct {
	rule string
	run  func(b *bench, trouble bool) error
}{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: reviewstand CASE FOLDER")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	commands, err := readCommands()
	if err != nil {
		fmt.Println(err)
		return 2
	}
	b := &bench{dir: dir, record: record, commands: commands, store: newStore(), steps: make(map[string][]*step),
		done: make(map[string]time.Time), running: make(map[string]map[runKey]*worker), starts: make(map[string]int),
		failed: make(map[string]int), ends: make(map[string]int)}
	defer b.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	b.log("case %s, rule %s, trouble %v", os.Args[1], c.rule, trouble)
	ended := make(chan error, 1)
	go func() { ended <- c.run(b, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case <-signals:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(longest - time.Since(begun)):
		err = fmt.Errorf("the case took over %v", longest)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOver = true
	count := 0
	for _, x := range b.breaches {
		if x.rule == c.rule {
			count++
		}
	}
	b.logLocked("ends of runs: %v; rules broken: %d times, %s %d times", b.ends, len(b.breaches), c.rule, count)
	for i, x := range b.breaches {
		if i == 5 {
			fmt.Printf("... %d in all\n", len(b.breaches))
			break
		}
		fmt.Printf("%s: %s\n", x.rule, x.what)
	}
	if count > 0 {
		return 1
	}
	if err != nil {
		b.logLocked("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	if len(b.breaches) > 0 {
		return 2 // another rule was broken, which the case is not about
	}
	fmt.Println("no rule was broken")
	return 0
}
