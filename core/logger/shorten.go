package logger

import "strings"

// maxText bounds a text of another writer in a log line, in bytes.
const maxText = 200

// Shorten cuts a text that is too long for a log line.
func Shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}
