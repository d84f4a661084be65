// Command mulberryctl is part of mulberrylink.
package main

func main() {}
