//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noCase  = 2
	maxTime = 115 * time.Second
)

var cases = map[string]func(*stage) (int, error){
	"large": playLarge, "memory": playMemory, "silent": playSilent, "stuck": playStuck, "twice": playTwice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-3 CASE FOLDER")
		os.Exit(noCase)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, maxTime)
	defer stop()
	s, err := newStage(ctx, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage-3:", err)
		return noCase
	}
	defer s.close()
	code, err := cases[name](s)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage-3:", err)
		s.logf("the case could not run: %v", err)
		return noCase
	}
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}
