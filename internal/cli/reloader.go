package cli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
)

// settingsPeriod is how often a settings file is looked at, since it may change
// without a signal.
const settingsPeriod = 2 * time.Second

// followSettings calls apply with the settings in a file when it has changed
// or SIGHUP arrives, until ctx is done. Settings that are wrong are logged and
// change nothing.
func followSettings(ctx context.Context, path string, load func(data []byte) (configurer.Settings, error), apply func(configurer.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Without a handler, SIGHUP would end the process in the middle of a stop.
	defer signal.Ignore(syscall.SIGHUP)
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	held, err := os.ReadFile(path)
	if err != nil {
		klog.ErrorS(err, "Settings cannot be read", "path", path)
	}
	for {
		cause := "changed"
		select {
		case <-hup:
			cause = "signal"
		case <-t.C:
		case <-ctx.Done():
			return
		}
		b, err := os.ReadFile(path)
		if err != nil {
			klog.ErrorS(err, "Settings cannot be read", "path", path)
			continue
		}
		if cause != "signal" && bytes.Equal(b, held) {
			continue
		}
		held = b
		s, err := load(b)
		if err != nil {
			klog.ErrorS(err, "Settings are wrong, the earlier ones stay in force", "path", path)
			continue
		}
		klog.InfoS("Reloading", "path", path, "cause", cause)
		apply(s)
	}
}
