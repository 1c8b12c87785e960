// Package node builds one lavenderrill node from its settings and runs it: the
// caller, peer, operator and backend listeners, and the components behind them.
package node
