#include "groups/GroupWatch.h"
