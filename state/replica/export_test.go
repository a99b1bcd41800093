package replica

// OpenDiskWithRandom is OpenDisk with a random source for new incarnations.
var OpenDiskWithRandom = openDisk
