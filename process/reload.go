package process

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/settings"
)

const (
	// settingsInterval is how often the settings file is checked for changes.
	settingsInterval = time.Second
	// otherFilesEvery is the number of checks of the settings per check of the keys, the
	// operators, the certificate and the tuning.
	otherFilesEvery = 5
)

// Reload requests that the settings file and all other files be read again. It does not block.
func (p *Process) Reload() {
	select {
	case p.reload <- struct{}{}:
	default: // a reload is already pending
	}
}

// followSettings reads files again when they have changed or Reload was called, until the
// context ends. The current contents stay in force if a file is invalid.
func (p *Process) followSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	loaded, checks := p.settingsHash(), 0
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
			forced = true
		case <-ticker.C:
		}
		if checks++; forced || checks%otherFilesEvery == 0 {
			p.reloadKeys()
			p.controlAccess.reload(p.log)
			p.reloadLogLevel()
		}
		sum := p.settingsHash()
		if (forced || sum != loaded) && p.reloadSettings() {
			loaded = sum
		}
	}
}

// settingsHash returns a hash of the settings file, or 0 if it can't be read.
func (p *Process) settingsHash() uint64 {
	data, err := os.ReadFile(p.SettingsPath)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// reloadSettings reads and applies the settings file. It reports whether the file was valid.
func (p *Process) reloadSettings() bool {
	cfg, err := settings.Read(p.SettingsPath)
	if err != nil {
		p.log.Warn("settings rejected, the old ones stay in force", "error", err)
		return false
	}
	p.settings.Store(cfg)
	if p.gateway != nil {
		p.gateway.SettingsReloaded(cfg)
	}
	return true
}

func (p *Process) reloadKeys() {
	if p.ring == nil {
		return
	}
	changed, err := p.ring.Reload()
	switch {
	case err != nil:
		p.log.Warn("keys rejected, the old ones stay in force", "error", err)
	case changed:
		p.log.Info("keys reloaded", "expires", p.ring.Expires())
	}
}

// reloadLogLevel applies log.level, the only setting of the tuning file that can change while
// the process runs.
func (p *Process) reloadLogLevel() {
	if p.Level == nil || p.TuningPath == "" {
		return
	}
	tuning, err := settings.ReadTuning(p.TuningPath)
	if err != nil {
		p.log.Warn("tuning rejected, the old one stays in force", "error", err)
		return
	}
	var level slog.Level
	if level.UnmarshalText([]byte(tuning.Log.Level)) == nil && level != p.Level.Level() {
		p.Level.Set(level)
		p.log.Info("log level changed", "level", level)
	}
}
