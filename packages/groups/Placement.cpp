#include "groups/Placement.h"
