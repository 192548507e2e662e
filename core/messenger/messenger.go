// Package messenger defines the messages that heatherhold's processes exchange
// with each other (drpc), with engines and with the platform (JSON).
package messenger

import "fmt"

// Stamp returns the text with which a stage marks each token that it has run.
func (s EngineStage) Stamp() string {
	return fmt.Sprintf("%s#%d:%d-%d@%s", s.Endpoint, s.Incarnation, s.From, s.To, s.Version)
}
