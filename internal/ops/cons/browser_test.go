package cons_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
)

var screens = flag.String("screens", "", "directory for the screenshots of TestBrowser")

const (
	desktopWidth = 1280
	phoneWidth   = 390
	windowHeight = 844
	stepLimit    = 15 * time.Second // for one action of an operator
)

// findBrowser returns the path of an installed Chromium.
func findBrowser(t *testing.T) string {
	t.Helper()
	for _, name := range []string{"chromium", "chromium-browser", "google-chrome"} {
		if file, err := exec.LookPath(name); err == nil {
			return file
		}
	}
	t.Skip("TestBrowser was left out: no Chromium is installed")
	return ""
}

// startBrowser starts a headless browser that ends with the test.
func startBrowser(t *testing.T) context.Context {
	t.Helper()
	allocator, stop := chromedp.NewExecAllocator(context.WithoutCancel(t.Context()), // the browser ends in Cleanup
		chromedp.ExecPath(findBrowser(t)), chromedp.UserDataDir(t.TempDir()), chromedp.Headless, chromedp.NoSandbox,
		chromedp.DisableGPU, chromedp.NoFirstRun, chromedp.WSURLReadTimeout(30*time.Second),
		chromedp.Flag("disable-quic", true), chromedp.Flag("disable-background-networking", true),
		chromedp.Flag("disable-component-update", true), chromedp.Flag("disable-sync", true))
	ctx, closeTab := chromedp.NewContext(allocator)
	t.Cleanup(func() {
		if err := chromedp.Cancel(ctx); err != nil {
			t.Errorf("end the browser: %v", err)
		}
		closeTab()
		stop()
	})
	if err := chromedp.Do(ctx); err != nil {
		t.Fatal(err)
	}
	return ctx
}

// tab is one operator's window; each has cookies of its own.
type tab struct {
	t   *testing.T
	ctx context.Context
	url string
}

func newTab(browser context.Context, t *testing.T, url string) tab {
	t.Helper()
	ctx, cancel := chromedp.NewContext(browser, chromedp.WithNewBrowserContext())
	t.Cleanup(cancel)
	if err := chromedp.Do(ctx); err != nil { // the tab lives as long as the context of the first call
		t.Fatal(err)
	}
	b := tab{t, ctx, url}
	b.run(chromedp.EmulateViewport(desktopWidth, windowHeight))
	return b
}

func (b tab) run(actions ...chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, stepLimit)
	defer cancel()
	if err := chromedp.Do(ctx, actions...); err != nil {
		b.t.Fatal(err)
	}
}

func read[T any](b tab, action chromedp.Action[T]) T {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, stepLimit)
	defer cancel()
	v, err := chromedp.Run(ctx, action)
	if err != nil {
		b.t.Fatal(err)
	}
	return v
}

// load runs an action that leads to another page and waits for that page.
func (b tab) load(status int64, action chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, stepLimit)
	defer cancel()
	response, err := chromedp.RunResponse(ctx, action)
	if err != nil {
		b.t.Fatal(err)
	}
	if response.Status != status {
		b.t.Errorf("status %d, want %d", response.Status, status)
	}
}

func (b tab) open(path string) {
	b.t.Helper()
	b.load(http.StatusOK, chromedp.Navigate(b.url+path))
}

func (b tab) press(action string) {
	b.t.Helper()
	b.load(http.StatusOK, chromedp.Click(fmt.Sprintf("button[value=%q]", action)))
}

// follow presses the button or link with a text, as an operator finds it.
func (b tab) follow(text string) {
	b.t.Helper()
	b.load(http.StatusOK, chromedp.Click(fmt.Sprintf("//*[self::a or self::button][normalize-space()=%q]", text)))
}

// fill types into the input with a label.
func (b tab) fill(label, text string) {
	b.t.Helper()
	input := fmt.Sprintf("//input[@id=//label[normalize-space()=%q]/@for]", label)
	b.run(chromedp.Clear(input), chromedp.SendKeys(input, text))
}

func (b tab) signIn(operator string) {
	b.t.Helper()
	b.open("/")
	b.fill("Your name", operator)
	b.fill("Token", changeToken)
	b.follow("Sign in")
}

func (b tab) want(texts ...string) {
	b.t.Helper()
	page := read(b, chromedp.Text("body"))
	for _, text := range texts {
		if !strings.Contains(page, text) {
			b.t.Errorf("page does not show %q:\n%s", text, page)
		}
	}
}

func (b tab) wantFocus(label string) {
	b.t.Helper()
	const focused = `document.activeElement.labels?.[0]?.innerText ?? document.activeElement.tagName`
	got, deadline := "", time.Now().Add(stepLimit)
	for got != label && time.Now().Before(deadline) { // a browser sets the focus after the load event
		got = read(b, chromedp.Evaluate[string](focused))
	}
	if got != label {
		b.t.Errorf("focus is on %q, want %q", got, label)
	}
}

// look checks that nothing is cut off at either width, and stores screenshots when the flag asks for them.
func (b tab) look(name string) {
	b.t.Helper()
	for _, width := range []int64{phoneWidth, desktopWidth} {
		b.run(chromedp.EmulateViewport(width, windowHeight))
		wide := read(b, chromedp.Evaluate[int64](`document.documentElement.scrollWidth`))
		if wide > width {
			b.t.Errorf("%s is %d pixels wide in a window of %d", name, wide, width)
		}
		if *screens == "" {
			continue
		}
		picture := read(b, chromedp.FullScreenshot(100))
		if err := os.WriteFile(filepath.Join(*screens, fmt.Sprintf("%s-%d.png", name, width)), picture, 0o644); err != nil {
			b.t.Fatal(err)
		}
	}
}

// Guards against pages that a browser does not run as their HTML suggests: buttons that post the wrong form, cookies
// that are not sent back, a policy that blocks the style, lost focus, and text that is cut off on a phone.
func TestBrowser(t *testing.T) {
	f := newFixture(t)
	browser := startBrowser(t)
	server := httptest.NewServer(f.console)
	t.Cleanup(server.Close)
	amina, yusuf := newTab(browser, t, server.URL), newTab(browser, t, server.URL)

	amina.open("/")
	amina.look("signin")
	amina.wantFocus("Your name")
	amina.signIn("amina")
	amina.look("services")
	yusuf.signIn("yusuf")

	amina.follow("stock")
	amina.look("service")
	amina.fill("Max body", "many")
	amina.fill("Default deadline", "1m")
	amina.follow("Check")
	amina.want("2 faults", "at most Max deadline", "60 GiB")
	amina.wantFocus("Default deadline")
	amina.look("faults")
	amina.follow("Review")
	amina.want("2 faults", "Services › stock › Max body", "many")
	amina.look("review-faults")
	amina.press("view:$.Services[1]")
	amina.fill("Max body", "3 MiB")
	amina.fill("Default deadline", "1s")
	amina.follow("Add a route")
	amina.look("route")
	amina.fill("Path", "/orders")
	amina.run(chromedp.Click(`input[type=checkbox]`))

	amina.press("view:$.Teams")
	amina.look("teams")
	amina.follow("Add a team")
	amina.wantFocus("Name")
	amina.fill("Name", "packing")
	amina.fill("Processors", "2.5")
	amina.look("team")
	amina.follow("Review")
	amina.want("Services › stock › Max body", "1 MiB", "3 MiB", "Teams › packing", "/orders", "Quota › Processors: 2.5")
	amina.look("review")
	amina.follow("Submit")
	amina.want("Version 2 is accepted")
	amina.look("accepted")

	yusuf.press("view:$.Services[0]")
	yusuf.fill("Max connections", "77")
	yusuf.follow("Review")
	yusuf.want("Version 2 was accepted while you edited version 1", "amina")
	yusuf.look("race")
	yusuf.press("merge")
	yusuf.want("now based on version 2", "Services › hello › Max connections", "64", "77")
	yusuf.look("merged")
	yusuf.follow("Submit")
	yusuf.want("Version 3 is accepted")

	yusuf.open("/status")
	yusuf.want("entry-1", "<b>worker")
	yusuf.look("status")
	yusuf.open("/audit")
	yusuf.want("amina", "yusuf")
	yusuf.look("audit")
	yusuf.follow("Sign out")
	yusuf.want("Your name")

	d := f.config.Current().Document
	hello, _ := d.Service("hello")
	stock, _ := d.Service("stock")
	team, ok := d.Team("packing")
	if !ok || team.Quota.Processors != 2500 || hello.MaxConnections != 77 || stock.MaxBody != 3<<20 || len(stock.Routes) != 1 ||
		!stock.Routes[0].Idempotent || stock.Routes[0].Path != "/orders" {
		t.Errorf("accepted: team %+v, hello %+v, stock %+v", team, hello, stock)
	}
}
