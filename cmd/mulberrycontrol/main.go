// Command mulberrycontrol is part of mulberrylink.
package main

func main() {}
