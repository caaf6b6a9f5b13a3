#include "routing/LimitRamp.h"
