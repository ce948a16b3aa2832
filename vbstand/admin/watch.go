package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

// MarkPrefix is the prefix of the name of a caller section that identifies the document of one
// submission.
const MarkPrefix = "mark-"

var markPattern = regexp.MustCompile(`(?m)^\[caller (` + MarkPrefix + `[a-z0-9-]+)\]`)

// Target is an instance to poll and the address of its HTTP listener.
type Target struct {
	Name    model.Instance
	Address string
}

// WatchConfigs polls each instance once per period until ctx ends and records which configuration
// the instance reports as current.
func WatchConfigs(ctx context.Context, targets []Target, period time.Duration, journal *record.Writer) {
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { watchInstance(ctx, t, period, journal) })
	}
	group.Wait()
}

func watchInstance(ctx context.Context, t Target, period time.Duration, journal *record.Writer) {
	client := &http.Client{Timeout: 2 * time.Second}
	list, err := entry.NewList(client, []string{t.Address})
	if err != nil {
		return
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		if observation, err := observeConfig(ctx, list, t); err == nil {
			journal.Write(record.Line{Observation: &observation})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observeConfig requests the status before the document. If the configuration changes between both
// requests, the document is of a newer version than the status, and its hash and marks are omitted.
func observeConfig(ctx context.Context, list *entry.List, t Target) (record.Observation, error) {
	var status proto.StatusReply
	if err := list.Do(ctx, http.MethodGet, t.Address, "/v1/status", nil, &status); err != nil {
		return record.Observation{}, err
	}
	observation := record.Observation{Instance: t.Name, Time: record.Now(), Ready: status.Ready, Version: status.ConfigVersion}
	var config proto.ConfigReply
	err := list.Do(ctx, http.MethodGet, t.Address, "/v1/config", nil, &config)
	if err != nil || config.Version != status.ConfigVersion {
		return observation, nil
	}
	hash := sha256.Sum256([]byte(config.Document))
	observation.Hash = hex.EncodeToString(hash[:8])
	for _, m := range markPattern.FindAllStringSubmatch(config.Document, -1) {
		observation.Marks = append(observation.Marks, m[1])
	}
	return observation, nil
}

// SaveMetrics saves the metrics of each instance as DIR/metrics-LABEL-NAME.txt.
func SaveMetrics(ctx context.Context, targets []Target, dir, label string) error {
	for _, t := range targets {
		if err := saveInstanceMetrics(ctx, t, filepath.Join(dir, fmt.Sprintf("metrics-%s-%s.txt", label, t.Name))); err != nil {
			return fmt.Errorf("save metrics of %s: %w", t.Name, err)
		}
	}
	return nil
}

func saveInstanceMetrics(ctx context.Context, t Target, file string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
