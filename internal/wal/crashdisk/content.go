package crashdisk

import "bytes"

// fileContent holds the content of a file as of its last sync, and the writes since.
type fileContent struct {
	synced []byte
	writes []write
}

// write is a write of data at an offset or a truncation at that offset.
type write struct {
	offset   int
	data     []byte
	truncate bool
}

// applyTo returns the content with the write applied. It may modify content in place.
func (w write) applyTo(content []byte) []byte {
	if w.truncate {
		return content[:min(w.offset, len(content))]
	}
	if missing := w.offset + len(w.data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[w.offset:], w.data)
	return content
}

// current returns the content that a process reads, including unsynced writes.
func (c *fileContent) current() []byte {
	content := bytes.Clone(c.synced)
	for _, w := range c.writes {
		content = w.applyTo(content)
	}
	return content
}

// length returns the length of the current content.
func (c *fileContent) length() int {
	n := len(c.synced)
	for _, w := range c.writes {
		if w.truncate {
			n = min(n, w.offset)
		} else {
			n = max(n, w.offset+len(w.data))
		}
	}
	return n
}

// sync makes all writes durable.
func (c *fileContent) sync() {
	for _, w := range c.writes {
		c.synced = w.applyTo(c.synced)
	}
	c.writes = nil
}
