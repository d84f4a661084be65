// Command mulberrynode is part of mulberrylink.
package main

func main() {}
