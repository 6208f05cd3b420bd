package rows

// A store may be restored from an older copy. It then loses what it has acknowledged since
// and gives the same version numbers out again. The versions of this package hold the era,
// which counts the restores, above the number that the store gave: they rise all the same.
const (
	eraShift   = 32
	numberMask = 1<<eraShift - 1
)

// VersionIn returns the version for a number that the store gave in an era.
func VersionIn(era, number uint64) uint64 { return era<<eraShift | number&numberMask }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// Number returns the number that the store gave.
func Number(version uint64) uint64 { return version & numberMask }
