#include "groups/LeaseholderChoice.h"
