#include "routing/PrefixIndex.h"
