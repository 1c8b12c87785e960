// Package inbound bounds what clients of a listener can make a process hold: the number of
// connections, the size of a header and the time to receive it, and the memory of all
// requests together. net/http bounds a header by 1 MB and the others not at all.
package inbound
