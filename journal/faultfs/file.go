package faultfs

import (
	"bytes"
	"errors"

	"github.com/primrosebeam/primrosebeam/journal"
)

type file struct {
	fs   *FS
	path string
	node *inode
}

func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	err := h.fs.check(Step{Operation: journal.OperationWrite, Path: h.path, Bytes: len(p)})
	var partial *PartialWriteError
	if errors.As(err, &partial) {
		n := min(partial.Bytes, len(p))
		h.node.data = append(h.node.data, p[:n]...)
		return n, partial.Err
	}
	if err != nil {
		return 0, err
	}
	h.node.data = append(h.node.data, p...)
	return len(p), nil
}

func (h *file) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.check(Step{Operation: journal.OperationTruncate, Path: h.path}); err != nil {
		return err
	}
	h.node.data = h.node.data[:size]
	return nil
}

func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.check(Step{Operation: journal.OperationSync, Path: h.path}); err != nil {
		return err
	}
	h.node.synced = bytes.Clone(h.node.data)
	return nil
}

func (h *file) Close() error { return nil }
