#include "routing/PermitTable.h"
