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
	desktopWidth  = 1280
	phoneWidth    = 390
	windowHeight  = 844
	actionTimeout = 15 * time.Second // for one browser action
)

// findBrowser returns the path of an installed Chromium; it skips the test if there is none.
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

// startBrowser starts a headless browser that is closed when the test ends.
func startBrowser(t *testing.T) context.Context {
	t.Helper()
	allocator, stop := chromedp.NewExecAllocator(context.WithoutCancel(t.Context()), // Cleanup closes the browser
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

// tab is the browser tab of one operator, with its own cookies.
type tab struct {
	t   *testing.T
	ctx context.Context
	url string
}

func newTab(browser context.Context, t *testing.T, url string) tab {
	t.Helper()
	ctx, cancel := chromedp.NewContext(browser, chromedp.WithNewBrowserContext())
	t.Cleanup(cancel)
	if err := chromedp.Do(ctx); err != nil { // the tab is closed when the context of the first call ends
		t.Fatal(err)
	}
	b := tab{t, ctx, url}
	b.run(chromedp.EmulateViewport(desktopWidth, windowHeight))
	return b
}

func (b tab) run(actions ...chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, actionTimeout)
	defer cancel()
	if err := chromedp.Do(ctx, actions...); err != nil {
		b.t.Fatal(err)
	}
}

func read[T any](b tab, action chromedp.Action[T]) T {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, actionTimeout)
	defer cancel()
	v, err := chromedp.Run(ctx, action)
	if err != nil {
		b.t.Fatal(err)
	}
	return v
}

// load runs an action that opens another page, waits for the page and checks its status.
func (b tab) load(status int64, action chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, actionTimeout)
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

// clickText clicks the button or link with the given text.
func (b tab) clickText(text string) {
	b.t.Helper()
	b.load(http.StatusOK, chromedp.Click(fmt.Sprintf("//*[self::a or self::button][normalize-space()=%q]", text)))
}

// fill replaces the text of the input with the given label.
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
	b.clickText("Sign in")
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
	got, deadline := "", time.Now().Add(actionTimeout)
	for got != label && time.Now().Before(deadline) { // the browser sets the focus after the load event
		got = read(b, chromedp.Evaluate[string](focused))
	}
	if got != label {
		b.t.Errorf("focus is on %q, want %q", got, label)
	}
}

// checkLayout checks that the page fits both widths without horizontal scrolling, and saves screenshots if -screens is
// set.
func (b tab) checkLayout(name string) {
	b.t.Helper()
	for _, width := range []int64{phoneWidth, desktopWidth} {
		b.run(chromedp.EmulateViewport(width, windowHeight))
		pageWidth := read(b, chromedp.Evaluate[int64](`document.documentElement.scrollWidth`))
		if pageWidth > width {
			b.t.Errorf("%s is %d pixels wide in a window of %d", name, pageWidth, width)
		}
		if *screens == "" {
			continue
		}
		image := read(b, chromedp.FullScreenshot(100))
		if err := os.WriteFile(filepath.Join(*screens, fmt.Sprintf("%s-%d.png", name, width)), image, 0o644); err != nil {
			b.t.Fatal(err)
		}
	}
}

// Guards against faults that only appear in a browser: buttons that submit the wrong form, cookies that are not sent
// back, a content security policy that blocks the style sheet, lost focus, and text that is cut off on a phone.
func TestBrowser(t *testing.T) {
	f := newFixture(t)
	browser := startBrowser(t)
	server := httptest.NewServer(f.console)
	t.Cleanup(server.Close)
	amina, yusuf := newTab(browser, t, server.URL), newTab(browser, t, server.URL)

	amina.open("/")
	amina.checkLayout("signin")
	amina.wantFocus("Your name")
	amina.signIn("amina")
	amina.checkLayout("services")
	yusuf.signIn("yusuf")

	amina.clickText("stock")
	amina.checkLayout("service")
	amina.fill("Max body", "many")
	amina.fill("Default deadline", "1m")
	amina.clickText("Check")
	amina.want("2 faults", "at most Max deadline", "60 GiB")
	amina.wantFocus("Default deadline")
	amina.checkLayout("faults")
	amina.clickText("Review")
	amina.want("2 faults", "Services › stock › Max body", "many")
	amina.checkLayout("review-faults")
	amina.press("view:$.Services[1]")
	amina.fill("Max body", "3 MiB")
	amina.fill("Default deadline", "1s")
	amina.clickText("Add a route")
	amina.checkLayout("route")
	amina.fill("Path", "/orders")
	amina.run(chromedp.Click(`input[type=checkbox]`))

	amina.press("view:$.Teams")
	amina.checkLayout("teams")
	amina.clickText("Add a team")
	amina.wantFocus("Name")
	amina.fill("Name", "packing")
	amina.fill("Processors", "2.5")
	amina.checkLayout("team")
	amina.clickText("Review")
	amina.want("Services › stock › Max body", "1 MiB", "3 MiB", "Teams › packing", "/orders", "Quota › Processors: 2.5")
	amina.checkLayout("review")
	amina.clickText("Submit")
	amina.want("Version 2 is accepted")
	amina.checkLayout("accepted")

	yusuf.press("view:$.Services[0]")
	yusuf.fill("Max connections", "77")
	yusuf.clickText("Review")
	yusuf.want("Version 2 was accepted while you edited version 1", "amina")
	yusuf.checkLayout("race")
	yusuf.press("merge")
	yusuf.want("now based on version 2", "Services › hello › Max connections", "64", "77")
	yusuf.checkLayout("merged")
	yusuf.clickText("Submit")
	yusuf.want("Version 3 is accepted")

	yusuf.open("/status")
	yusuf.want("entry-1", "<b>worker")
	yusuf.checkLayout("status")
	yusuf.open("/audit")
	yusuf.want("amina", "yusuf")
	yusuf.checkLayout("audit")
	yusuf.clickText("Sign out")
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
