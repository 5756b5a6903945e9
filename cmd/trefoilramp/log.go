package main

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// processLog returns a log in JSON on standard error, with its fields in Pascal case.
func processLog(fields ...zap.Field) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "Time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncoderConfig.LevelKey = "Level"
	cfg.EncoderConfig.MessageKey = "Message"
	log, err := cfg.Build(zap.Fields(fields...))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return log, nil
}
