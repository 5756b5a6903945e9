package main

import (
	"fmt"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilramp.org/trefoilramp/internal/ops/logs"
)

// cellLog returns a logger that writes JSON with fields in Pascal case to standard output. Its writer drops lines
// instead of blocking, and limits those of one message.
func cellLog(fields ...zap.Field) (*zap.Logger, *logs.Writer) {
	w := logs.NewWriter(os.Stdout)
	core := w.Core(zapcore.NewJSONEncoder(encoding()), zapcore.InfoLevel)
	return zap.New(core, zap.Fields(fields...)), w
}

func encoding() zapcore.EncoderConfig {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "Time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.LevelKey = "Level"
	cfg.MessageKey = "Message"
	return cfg
}

// processLog returns a logger that writes JSON with fields in Pascal case to standard error.
func processLog(fields ...zap.Field) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig = encoding()
	log, err := cfg.Build(zap.Fields(fields...))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return log, nil
}
